package org.lovagevale.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.lovagevale.base.AccountName;
import org.lovagevale.base.RandomSource;
import org.lovagevale.core.catalog.RateLimit;
import org.lovagevale.core.message.AccountAsk;
import org.lovagevale.core.message.AccountGrant;

/**
 * The tokens that an entry VM has leased from the limiter of its region, and the requests
 * that wait for some.
 *
 * <p>
 * Invariants: a request is admitted only with a leased token, which is used once and
 * within the lease, or with a token of {@link LocalTokens}; a request waits at most
 * {@link #ANSWER_TIMEOUT_MS} and the interval of {@link #tick}. A lease is counted from
 * the question by the clock of this VM, so an answer that was delayed extends nothing.
 * Not thread-safe.
 */
public final class TokenLeases {

	/**
	 * Time within which the limiter must answer, in milliseconds. It is several times the
	 * latency of a message within a region.
	 */
	public static final long ANSWER_TIMEOUT_MS = 60;

	/** A grant of tokens with this lease states that its sender is not the limiter. */
	static final int NO_AUTHORITY = 0;

	/** Maximum age of a question whose late answer is still used, in milliseconds. */
	private static final long MAX_QUESTION_AGE_MS = 1_000;

	/**
	 * Retry delay of requests that are refused without the limiter, in milliseconds.
	 * Another process has replaced a lost limiter by then.
	 */
	private static final long LOCAL_RETRY_AFTER_MS = 1_500;

	private final LimiterLink link;

	private final LimitPlan plan;

	private final RandomSource random;

	private final LimitListener listener;

	private final Map<AccountName, AccountLease> leases = new HashMap<>();

	private final Map<Long, Question> questions = new HashMap<>();

	private long lastNumber;

	/**
	 * Creates leases without tokens.
	 * @param link connects to the limiter
	 * @param plan the parts of the limits
	 * @param random the source of random numbers
	 * @param listener is told of each decision
	 */
	public TokenLeases(LimiterLink link, LimitPlan plan, RandomSource random, LimitListener listener) {
		this.link = link;
		this.plan = plan;
		this.random = random;
		this.listener = listener;
		// A late answer to an earlier run of this process must not match a question.
		this.lastNumber = random.nextLong() >>> 1;
	}

	/**
	 * Decides whether a request is within the limit of its account.
	 * @param account the account
	 * @param limit its limit
	 * @param now the monotonic time in milliseconds
	 * @return the decision, which may be pending
	 */
	public LimitDecision request(AccountName account, RateLimit limit, long now) {
		if (!limit.isLimited()) {
			return LimitDecision.admitted();
		}
		AccountLease lease = this.leases.computeIfAbsent(account, (name) -> new AccountLease(name, this.random, now));
		lease.setLimit(limit);
		lease.recordArrival(now);
		LimitDecision admitted = LimitDecision.admitted();
		if (!lease.isWaiting() && lease.tryTake(admitted, now)) {
			this.listener.decided(account, LimitOutcome.ADMITTED);
			if (lease.needsMore(now)) {
				ask(lease, now);
			}
			return admitted;
		}
		if (lease.isRefusing(now)) {
			this.listener.decided(account, LimitOutcome.REFUSED);
			return LimitDecision.refused(lease.nextRetryAfterMs(now));
		}
		LimitDecision decision = lease.await(now);
		if (!lease.hasQuestion()) {
			ask(lease, now);
		}
		return decision;
	}

	private void ask(AccountLease lease, long now) {
		long number = ++this.lastNumber;
		int wanted = lease.beginQuestion(number, now);
		this.questions.put(number, new Question(lease, wanted, now));
		this.link.ask(new AccountAsk(number, lease.account().value(), wanted, lease.demandPer100Seconds(now)));
	}

	/**
	 * Handles the answer of the limiter. An answer that is not expected is ignored.
	 * @param grant the answer
	 * @param now the monotonic time in milliseconds
	 */
	public void handleGrant(AccountGrant grant, long now) {
		Question question = this.questions.remove(grant.number());
		if (question == null) {
			return;
		}
		AccountLease lease = question.lease();
		boolean current = lease.endQuestion(grant.number());
		if (grant.leaseMs() <= NO_AUTHORITY) {
			if (current) {
				decideLocally(lease, now);
			}
			return;
		}
		// An answer that grants more than was asked for is not an answer to it.
		int granted = Math.min(question.wanted(), Math.max(0, grant.tokens()));
		lease.add(granted, question.askedAt() + Math.min(grant.leaseMs(), this.plan.leaseMs()));
		for (LimitDecision decision : lease.takeServable(now)) {
			this.listener.decided(lease.account(), LimitOutcome.ADMITTED);
			decision.admit();
		}
		if (!current) {
			return;
		}
		if (granted < question.wanted()) {
			lease.beginRefusing(granted, grant.retryAfterMs(), now);
			for (LimitDecision decision : lease.takeWaiting()) {
				this.listener.decided(lease.account(), LimitOutcome.REFUSED);
				decision.refuse(lease.nextRetryAfterMs(now));
			}
		}
		else if (lease.isWaiting() && !lease.hasQuestion()) {
			ask(lease, now);
		}
	}

	private void decideLocally(AccountLease lease, long now) {
		double rate = this.plan.localRate(lease.limit(), this.link.regionVms());
		for (LimitDecision decision : lease.takeWaiting()) {
			if (lease.localTokens().tryTake(rate, now)) {
				this.listener.decided(lease.account(), LimitOutcome.ADMITTED_LOCALLY);
				decision.admit();
			}
			else {
				this.listener.decided(lease.account(), LimitOutcome.REFUSED_LOCALLY);
				decision.refuse(LOCAL_RETRY_AFTER_MS);
			}
		}
	}

	/**
	 * Decides the requests locally that have waited too long. To be called every few
	 * milliseconds while {@link #isWaiting()}.
	 * @param now the monotonic time in milliseconds
	 */
	public void tick(long now) {
		long longestMs = 0;
		for (AccountLease lease : List.copyOf(this.leases.values())) {
			long waitedMs = lease.longestWaitMs(now);
			if (waitedMs >= ANSWER_TIMEOUT_MS) {
				longestMs = Math.max(longestMs, waitedMs);
				lease.abandonQuestion();
				decideLocally(lease, now);
			}
		}
		if (longestMs > 0) {
			this.link.limiterSilent(longestMs);
		}
		this.questions.values().removeIf((question) -> now - question.askedAt() > MAX_QUESTION_AGE_MS);
	}

	/**
	 * Asks again for the requests that wait, after the connection to the limiter was
	 * lost.
	 * @param now the monotonic time in milliseconds
	 */
	public void limiterLost(long now) {
		for (AccountLease lease : List.copyOf(this.leases.values())) {
			lease.abandonQuestion();
			if (lease.isWaiting()) {
				ask(lease, now);
			}
		}
	}

	/**
	 * Tells whether requests wait for tokens.
	 * @return {@code true} if at least one does
	 */
	public boolean isWaiting() {
		return this.leases.values().stream().anyMatch(AccountLease::isWaiting);
	}

	/**
	 * Removes the state of accounts that have no limit any longer and admits their
	 * requests that wait.
	 * @param limits the accounts with a limit
	 */
	public void retain(Map<AccountName, RateLimit> limits) {
		List<LimitDecision> admitted = new ArrayList<>();
		for (Iterator<AccountLease> all = this.leases.values().iterator(); all.hasNext();) {
			AccountLease lease = all.next();
			if (!limits.containsKey(lease.account())) {
				admitted.addAll(lease.takeWaiting());
				all.remove();
			}
		}
		admitted.forEach(LimitDecision::admit);
	}

	/**
	 * A question to the limiter.
	 *
	 * @param lease the account
	 * @param wanted the number of tokens
	 * @param askedAt the monotonic time in milliseconds
	 */
	private record Question(AccountLease lease, int wanted, long askedAt) {
	}

}
