package org.lovagevale.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

import org.lovagevale.base.AccountName;
import org.lovagevale.base.RandomSource;
import org.lovagevale.core.catalog.RateLimit;

/**
 * The leased tokens and waiting requests of one account on an entry VM.
 *
 * <p>
 * Invariant: at most one question to the limiter is open. Not thread-safe.
 */
final class AccountLease {

	/** Time for which tokens are asked in advance, in seconds. */
	private static final double NEED_SECONDS = 0.2;

	/** Time whose tokens are left when more are asked for, in seconds. */
	private static final double LOW_SECONDS = 0.1;

	/**
	 * Rate above which tokens are asked in advance, in requests per second. With fewer
	 * requests, many of these tokens would expire: at 11 per second a tenth of them.
	 */
	private static final double MIN_BATCH_RATE = 40;

	/**
	 * Times for which requests are refused without a question after the limiter had no
	 * tokens, in milliseconds. The time doubles while it has none, so that an account far
	 * beyond its limit costs few messages.
	 */
	private static final long MIN_REFUSAL_MS = 50;

	private static final long MAX_REFUSAL_MS = 200;

	/** Range of the delay after which callers may send a request again. */
	private static final long MIN_RETRY_AFTER_MS = 100;

	private static final long MAX_RETRY_AFTER_MS = 5_000;

	private static final double MS_PER_SECOND = 1_000;

	private static final int CENTI = 100;

	/** Maximum number of tokens asked for at once. */
	private static final int MAX_WANTED = 1_000_000;

	private static final long NO_QUESTION = -1;

	private final AccountName account;

	private final ArrivalRate arrivals = new ArrivalRate();

	private final ArrayDeque<Tokens> tokens = new ArrayDeque<>();

	private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();

	private final LocalTokens localTokens;

	private RateLimit limit = RateLimit.NONE;

	private long question = NO_QUESTION;

	private long refusingUntil = Long.MIN_VALUE;

	private long refusalMs = MIN_REFUSAL_MS;

	private long retryAt;

	private int refusedSinceAnswer;

	AccountLease(AccountName account, RandomSource random, long now) {
		this.account = account;
		this.localTokens = new LocalTokens(random, now);
	}

	AccountName account() {
		return this.account;
	}

	RateLimit limit() {
		return this.limit;
	}

	void setLimit(RateLimit newLimit) {
		this.limit = newLimit;
	}

	LocalTokens localTokens() {
		return this.localTokens;
	}

	void recordArrival(long now) {
		this.arrivals.record(now);
	}

	int demandPer100Seconds(long now) {
		return (int) Math.min(Integer.MAX_VALUE, Math.ceil(this.arrivals.perSecond(now) * CENTI));
	}

	/**
	 * Admits a request with a leased token if there is one.
	 * @param decision the decision on the request, which is given the way to return it
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if a token was taken
	 */
	boolean tryTake(LimitDecision decision, long now) {
		removeExpired(now);
		Tokens first = this.tokens.peekFirst();
		if (first == null) {
			return false;
		}
		first.count--;
		if (first.count == 0) {
			this.tokens.removeFirst();
		}
		decision.setTokenReturn(() -> add(1, first.expiresAt));
		return true;
	}

	private void removeExpired(long now) {
		this.tokens.removeIf((leased) -> now >= leased.expiresAt);
	}

	void add(int count, long expiresAt) {
		if (count > 0) {
			this.tokens.addLast(new Tokens(count, expiresAt));
		}
	}

	private int available(long now) {
		removeExpired(now);
		return this.tokens.stream().mapToInt((leased) -> leased.count).sum();
	}

	/**
	 * Tells whether tokens should be asked for before they are used up.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if no question is open and few tokens are left
	 */
	boolean needsMore(long now) {
		double perSecond = this.arrivals.perSecond(now);
		return !hasQuestion() && !isRefusing(now) && perSecond >= MIN_BATCH_RATE
				&& available(now) < perSecond * LOW_SECONDS;
	}

	boolean hasQuestion() {
		return this.question != NO_QUESTION;
	}

	/**
	 * Begins a question.
	 * @param number its number
	 * @param now the monotonic time in milliseconds
	 * @return the number of tokens to ask for
	 */
	int beginQuestion(long number, long now) {
		this.question = number;
		double perSecond = this.arrivals.perSecond(now);
		double batch = (perSecond >= MIN_BATCH_RATE) ? Math.ceil(perSecond * NEED_SECONDS) : 0;
		double need = Math.max(this.waiting.size(), batch);
		return (int) Math.clamp(need - available(now), 1, MAX_WANTED);
	}

	/**
	 * Ends a question that was answered.
	 * @param number its number
	 * @return {@code true} if it was the open one
	 */
	boolean endQuestion(long number) {
		if (this.question != number) {
			return false;
		}
		this.question = NO_QUESTION;
		return true;
	}

	void abandonQuestion() {
		this.question = NO_QUESTION;
	}

	LimitDecision await(long now) {
		LimitDecision decision = LimitDecision.pending();
		this.waiting.addLast(new Waiting(decision, now));
		return decision;
	}

	boolean isWaiting() {
		return !this.waiting.isEmpty();
	}

	long longestWaitMs(long now) {
		Waiting first = this.waiting.peekFirst();
		return (first != null) ? now - first.since() : 0;
	}

	/**
	 * Takes the waiting requests for which there are tokens, and their tokens.
	 * @param now the monotonic time in milliseconds
	 * @return the decisions, the longest waiting first
	 */
	List<LimitDecision> takeServable(long now) {
		List<LimitDecision> servable = new ArrayList<>();
		while (!this.waiting.isEmpty() && tryTake(this.waiting.getFirst().decision(), now)) {
			servable.add(this.waiting.removeFirst().decision());
		}
		return servable;
	}

	List<LimitDecision> takeWaiting() {
		List<LimitDecision> taken = this.waiting.stream().map(Waiting::decision).toList();
		this.waiting.clear();
		return taken;
	}

	/**
	 * Begins to refuse requests without a question, since the limiter had too few tokens.
	 * @param granted the tokens that it had
	 * @param retryAfterMs the delay that it stated, in milliseconds
	 * @param now the monotonic time in milliseconds
	 */
	void beginRefusing(int granted, long retryAfterMs, long now) {
		this.refusalMs = (granted > 0) ? MIN_REFUSAL_MS : Math.min(MAX_REFUSAL_MS, this.refusalMs * 2);
		this.refusingUntil = now + this.refusalMs;
		this.retryAt = now + retryAfterMs;
		this.refusedSinceAnswer = 0;
	}

	boolean isRefusing(long now) {
		return now < this.refusingUntil;
	}

	/**
	 * Returns the delay for the next refused request. Each one is told a later time, at
	 * the rate of the account, so that they do not return at once.
	 * @param now the monotonic time in milliseconds
	 * @return the delay in milliseconds
	 */
	long nextRetryAfterMs(long now) {
		double spreadMs = this.refusedSinceAnswer++ * MS_PER_SECOND / this.limit.ratePerSecond();
		return (long) Math.clamp(this.retryAt - now + spreadMs, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
	}

	/**
	 * Tokens of one lease.
	 */
	private static final class Tokens {

		private int count;

		private final long expiresAt;

		private Tokens(int count, long expiresAt) {
			this.count = count;
			this.expiresAt = expiresAt;
		}

	}

	/**
	 * A request that waits.
	 *
	 * @param decision its decision
	 * @param since the monotonic time in milliseconds
	 */
	private record Waiting(LimitDecision decision, long since) {
	}

}
