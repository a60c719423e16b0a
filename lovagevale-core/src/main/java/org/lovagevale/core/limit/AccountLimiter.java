package org.lovagevale.core.limit;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.RateLimit;
import org.lovagevale.core.message.AccountAsk;
import org.lovagevale.core.message.AccountDemand;
import org.lovagevale.core.message.AccountGrant;

/**
 * Leases the tokens of the accounts with a limit to the entry VMs of a region.
 *
 * <p>
 * Invariant: it grants only while it has a claim. When its duty begins, it has few
 * tokens, and for {@link #NEW_LIMITER_MS} it grants a small part of its share only,
 * unless it knows that its predecessor has stopped, since that may not have noticed yet.
 * Not thread-safe.
 */
public final class AccountLimiter {

	/**
	 * Time after the beginning of its duty for which the predecessor may still grant, in
	 * milliseconds. It is longer than a member counts as alive without a heartbeat.
	 */
	static final long NEW_LIMITER_MS = 2_000;

	/**
	 * Interval between reports to the other regions, in milliseconds. With 500 ms, demand
	 * that moves would be served after 1.1 s.
	 */
	static final long REPORT_INTERVAL_MS = 300;

	/** Interval between reports while no account has demand, in milliseconds. */
	static final long IDLE_REPORT_INTERVAL_MS = 600;

	private static final int COUNT_BITS = 32;

	private final LimitPlan plan;

	private final Region region;

	private final Map<AccountName, LimitedAccount> accounts = new HashMap<>();

	private RegionShares shares;

	private boolean onDuty;

	private double claim;

	/** Until when the predecessor may still grant. */
	private long newUntil;

	private long dutySince;

	private long reportedAt;

	private boolean hasDemand;

	/**
	 * Creates a limiter that is not on duty.
	 * @param plan the parts of the limits
	 * @param region the region
	 * @param salt distinguishes the reports of this process from those of others
	 * @param now the monotonic time in milliseconds
	 */
	public AccountLimiter(LimitPlan plan, Region region, int salt, long now) {
		this.plan = plan;
		this.region = region;
		this.shares = new RegionShares(region, plan.regions(), (long) (salt & Integer.MAX_VALUE) << COUNT_BITS, now);
	}

	/**
	 * Tells whether this limiter is on duty.
	 * @return {@code true} if it is
	 */
	public boolean isOnDuty() {
		return this.onDuty;
	}

	/**
	 * Tells whether the limiters of all regions hear each other.
	 * @return {@code true} if they do
	 */
	public boolean isConnected() {
		return this.shares.isConnected();
	}

	/**
	 * Replaces the limits. An account that had none begins without tokens.
	 * @param limits the limits of the accounts that have one
	 * @param now the monotonic time in milliseconds
	 */
	public void setLimits(Map<AccountName, RateLimit> limits, long now) {
		this.accounts.keySet().retainAll(limits.keySet());
		limits.forEach((name, limit) -> this.accounts.computeIfAbsent(name, (key) -> new LimitedAccount(limit, 0, now))
			.setLimit(limit));
		update(now);
	}

	/**
	 * Sets which part of the share of the region this process grants.
	 * @param newClaim the part; 0 if this process is not the limiter of the region
	 * @param predecessorLeft whether the former limiter said that it leaves, so that it
	 * no longer grants
	 * @param now the monotonic time in milliseconds
	 */
	public void setClaim(double newClaim, boolean predecessorLeft, long now) {
		boolean newDuty = newClaim > 0;
		this.claim = newClaim;
		if (newDuty == this.onDuty) {
			return;
		}
		this.onDuty = newDuty;
		this.dutySince = now;
		this.newUntil = predecessorLeft ? now : now + NEW_LIMITER_MS;
		this.reportedAt = now - IDLE_REPORT_INTERVAL_MS;
		this.shares = new RegionShares(this.region, this.plan.regions(), this.shares.sequence(), now);
		this.accounts.replaceAll((name, account) -> new LimitedAccount(account.limit(),
				this.plan.newLimiterTokens(account.limit()) * newClaim, now));
		update(now);
	}

	/**
	 * Tells whether the predecessor may still grant.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if this limiter grants a small part of its share only
	 */
	public boolean isNew(long now) {
		return this.onDuty && now < this.newUntil;
	}

	/**
	 * Records that the predecessor no longer grants.
	 * @param now the monotonic time in milliseconds
	 */
	public void recordPredecessorStopped(long now) {
		if (isNew(now)) {
			this.newUntil = now;
			update(now);
		}
	}

	/**
	 * Answers a question for tokens.
	 * @param from the VM of the sender
	 * @param ask the question
	 * @param now the monotonic time in milliseconds
	 * @return the answer
	 * @throws IllegalArgumentException if the name of the account is invalid
	 */
	public AccountGrant grant(VmName from, AccountAsk ask, long now) {
		LimitedAccount account = this.accounts.get(new AccountName(ask.account()));
		if (!this.onDuty || account == null) {
			return new AccountGrant(ask.number(), 0, TokenLeases.NO_AUTHORITY, 0);
		}
		account.recordDemand(from, ask.requestsPer100Seconds(), now);
		this.hasDemand = true;
		int wanted = Math.max(0, ask.tokens());
		int granted = account.take(wanted, now);
		int retryAfterMs = (granted < wanted) ? account.retryAfterMs(wanted - granted, now) : 0;
		return new AccountGrant(ask.number(), granted, this.plan.leaseMs(), retryAfterMs);
	}

	/**
	 * Handles a report of the limiter of another region.
	 * @param report the report
	 * @param now the monotonic time in milliseconds
	 * @throws IllegalArgumentException if the report is invalid
	 */
	public void receive(AccountDemand report, long now) {
		if (this.onDuty) {
			this.shares.receive(report, now);
			update(now);
		}
	}

	/**
	 * Updates the shares, and creates a report to the other regions if one is due. To be
	 * called every 100 ms.
	 * @param now the monotonic time in milliseconds
	 * @return the report, or {@code null} if none is due
	 */
	public @Nullable AccountDemand tick(long now) {
		if (!this.onDuty) {
			return null;
		}
		AccountDemand report = null;
		long intervalMs = this.hasDemand ? REPORT_INTERVAL_MS : IDLE_REPORT_INTERVAL_MS;
		if (this.plan.regions() > 1 && now - this.reportedAt >= intervalMs && mayReport(now)) {
			this.reportedAt = now;
			Map<AccountName, Integer> demand = new HashMap<>();
			this.accounts.forEach((name, account) -> demand.put(name, account.requestsPer100Seconds(now)));
			report = this.shares.report(demand, now);
			this.hasDemand = !report.demands().isEmpty();
		}
		update(now);
		return report;
	}

	// The others keep their shares for so long after the last report of a predecessor.
	private boolean mayReport(long now) {
		return this.shares.hasHeardAll(now) || now - this.dutySince >= IDLE_REPORT_INTERVAL_MS;
	}

	private void update(long now) {
		this.shares.update(this.accounts.keySet(), now);
		boolean isNew = isNew(now);
		this.accounts.forEach((name, account) -> {
			double share = this.shares.share(name);
			double rate = account.limit().ratePerSecond() * share * this.claim
					* (isNew ? this.plan.newLimiterShare() : 1);
			double capacity = isNew ? Math.max(1, this.plan.newLimiterTokens(account.limit()) * this.claim)
					: this.plan.capacity(account.limit(), share, this.claim);
			account.setBucketLimits(rate, capacity, now);
		});
	}

}
