package org.lovagevale.core.limit;

import org.lovagevale.core.catalog.RateLimit;

/**
 * Divides what the requests of a window may exceed their limit by among the mechanisms
 * that cannot be exact.
 *
 * <p>
 * Invariant: the limit and all parts together are below {@link AccountPolicy#bound}. With
 * an overage of 0.25 and a window of 5 s, the parts are 300 ms of the rate for leases,
 * 200 ms for headroom, 260 ms for a change of the limiter, 250 ms for local decisions and
 * 280 ms for regions in two parts, of 1,250 ms. Immutable and thread-safe.
 */
public final class LimitPlan {

	/** Share of the overage that leased tokens of before the window may use. */
	private static final double LEASE_SHARE = 0.24;

	/** Share of the overage in rate that buckets hold in addition to the burst. */
	private static final double HEADROOM_SHARE = 0.16;

	/** Share of the overage in burst that buckets hold in addition to the burst. */
	private static final double BURST_HEADROOM_SHARE = 0.6;

	/** Share of the slack that buckets hold in addition to the burst. */
	private static final double SLACK_SHARE = 0.5;

	/** Share of the slack with which a new limiter begins. */
	private static final double NEW_SLACK_SHARE = 0.15;

	/** Share of the overage in burst with which a new limiter begins. */
	private static final double NEW_BURST_SHARE = 0.4;

	/** Share of the overage that local decisions may use. */
	private static final double LOCAL_SHARE = 0.2;

	/**
	 * Share of the rate that a new limiter grants, in units of the overage. Its
	 * predecessor may still grant for a quarter of a window.
	 */
	private static final double NEW_LIMITER_SHARE = 0.8;

	/** Keeps the rate of a bucket positive where no overage is permitted. */
	private static final double MIN_NEW_LIMITER_SHARE = 0.01;

	/**
	 * Minimum number of entry VMs assumed in a region. A VM that has been cut off since
	 * its start knows no other, and many of them may decide locally.
	 */
	private static final int MIN_REGION_VMS = 8;

	/**
	 * Maximum duration of a lease, in milliseconds. A VM asks for the tokens of 200 ms.
	 */
	private static final long MAX_LEASE_MS = 300;

	/** Minimum duration of a lease, in milliseconds; an answer must arrive within it. */
	private static final long MIN_LEASE_MS = 100;

	private static final double MS_PER_SECOND = 1_000;

	private final AccountPolicy policy;

	private final int regions;

	/**
	 * Creates a plan.
	 * @param policy the rules for client accounts
	 * @param regions the number of regions, at least 1
	 * @throws IllegalArgumentException if there is no region
	 */
	public LimitPlan(AccountPolicy policy, int regions) {
		if (regions < 1) {
			throw new IllegalArgumentException("number of regions is " + regions + ", expected at least 1");
		}
		this.policy = policy;
		this.regions = regions;
	}

	int regions() {
		return this.regions;
	}

	/**
	 * Returns the time after the question for which leased tokens may be used.
	 * @return the time in milliseconds
	 */
	int leaseMs() {
		double part = LEASE_SHARE * this.policy.overage() * this.policy.windowMs();
		return (int) Math.max(MIN_LEASE_MS, Math.min(MAX_LEASE_MS, part));
	}

	/**
	 * Returns the capacity of the bucket of an account in one region.
	 * @param limit the limit of the account
	 * @param share the share of the region
	 * @param claim the part of the region
	 * @return the number of tokens, at least 1
	 */
	double capacity(RateLimit limit, double share, double claim) {
		double overage = this.policy.overage();
		double ratePart = limit.ratePerSecond() * this.policy.windowMs() / MS_PER_SECOND * overage * HEADROOM_SHARE;
		double burstPart = limit.burst() * overage * BURST_HEADROOM_SHARE;
		double headroom = (ratePart + burstPart + this.policy.slack() * SLACK_SHARE) / this.regions;
		return Math.max(1, claim * (limit.burst() * share + headroom));
	}

	/**
	 * Returns the share of its rate that a limiter grants while its predecessor may still
	 * grant, too.
	 * @return the share
	 */
	double newLimiterShare() {
		return Math.max(MIN_NEW_LIMITER_SHARE, Math.min(1, NEW_LIMITER_SHARE * this.policy.overage()));
	}

	/**
	 * Returns the tokens with which a new limiter begins, although its predecessor may
	 * have used the whole limit.
	 * @param limit the limit of the account
	 * @return the number of tokens
	 */
	double newLimiterTokens(RateLimit limit) {
		double burstPart = limit.burst() * this.policy.overage() * NEW_BURST_SHARE;
		return (burstPart + this.policy.slack() * NEW_SLACK_SHARE) / this.regions;
	}

	/**
	 * Returns the rate at which one entry VM decides locally.
	 * @param limit the limit of the account
	 * @param regionVms the number of entry VMs in the region
	 * @return the requests per second
	 */
	double localRate(RateLimit limit, int regionVms) {
		return limit.ratePerSecond() * this.policy.overage() * LOCAL_SHARE
				/ (this.regions * Math.max(MIN_REGION_VMS, regionVms));
	}

}
