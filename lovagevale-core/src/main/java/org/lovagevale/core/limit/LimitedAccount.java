package org.lovagevale.core.limit;

import java.util.HashMap;
import java.util.Map;

import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.RateLimit;

/**
 * The tokens of one account in a region, and the demand of its entry VMs.
 *
 * <p>
 * Not thread-safe.
 */
final class LimitedAccount {

	/** Time in which the residual of a former demand halves, in milliseconds. */
	private static final double RESIDUAL_HALF_LIFE_MS = 10_000;

	/**
	 * Share of a former demand that remains as residual, so that the burst of an idle
	 * account stays in the regions where it was used.
	 */
	private static final double RESIDUAL_SHARE = 0.01;

	/** Requests in the time over which they are counted, at a demand of 1. */
	private static final double COUNT_PER_DEMAND = ArrivalRate.WINDOW_MS / 100_000.0;

	/** Standard deviations of a count from which on a change is not by chance. */
	private static final double CHANCE_DEVIATIONS = 3;

	/** Number of counts that are averaged at most. */
	private static final int MAX_STEADY_SAMPLES = 15;

	/** Maximum retry delay, in milliseconds. */
	private static final long MAX_RETRY_AFTER_MS = 2_000;

	private static final double MS_PER_SECOND = 1_000;

	/** Rate of a bucket without a share, which must be positive. */
	private static final double MIN_RATE = 1e-9;

	private RateLimit limit;

	private final TokenBucket bucket;

	private final Map<VmName, VmDemand> demands = new HashMap<>();

	private double steadyDemand;

	/** Counts since the last change that was not by chance. */
	private int steadySamples;

	private double formerDemand;

	private long demandAt;

	/** When the refused requests will have been served at the rate of the region. */
	private long refusedServedAt;

	private double rate = MIN_RATE;

	LimitedAccount(RateLimit limit, double tokens, long now) {
		this.limit = limit;
		this.bucket = new TokenBucket(MIN_RATE, Math.max(1, tokens), tokens, now);
		this.demandAt = now;
		this.refusedServedAt = now;
	}

	void setLimit(RateLimit newLimit) {
		this.limit = newLimit;
	}

	RateLimit limit() {
		return this.limit;
	}

	void setBucketLimits(double ratePerSecond, double capacity, long now) {
		this.rate = Math.max(MIN_RATE, ratePerSecond);
		this.bucket.setLimits(this.rate, capacity, now);
	}

	void recordDemand(VmName vm, int requestsPer100Seconds, long now) {
		this.demands.put(vm, new VmDemand(Math.max(0, requestsPer100Seconds), now));
	}

	int take(int wanted, long now) {
		return this.bucket.take(wanted, now);
	}

	/**
	 * Returns the delay after which further requests can be served.
	 * @param refused the number of tokens that were not granted
	 * @param now the monotonic time in milliseconds
	 * @return the delay in milliseconds, at least 1
	 */
	int retryAfterMs(int refused, long now) {
		long first = Math.max(this.refusedServedAt, now + this.bucket.waitMs());
		long delayMs = Math.clamp(first - now, 1, MAX_RETRY_AFTER_MS);
		long servedMs = (long) Math.min(MAX_RETRY_AFTER_MS, refused * MS_PER_SECOND / this.rate);
		this.refusedServedAt = Math.min(now + MAX_RETRY_AFTER_MS, first + servedMs);
		return (int) delayMs;
	}

	/**
	 * Returns the demand of the region, or the residual of a former one if that is
	 * larger.
	 * @param now the monotonic time in milliseconds
	 * @return the requests in 100 seconds
	 */
	int requestsPer100Seconds(long now) {
		this.demands.values().removeIf((demand) -> now - demand.reportedAt() >= ArrivalRate.WINDOW_MS);
		double current = this.demands.values().stream().mapToDouble(VmDemand::requestsPer100Seconds).sum();
		current = steady(current);
		double fading = this.formerDemand * Math.pow(0.5, (now - this.demandAt) / RESIDUAL_HALF_LIFE_MS);
		this.formerDemand = Math.max(current, fading);
		this.demandAt = now;
		return (int) Math.min(Integer.MAX_VALUE, Math.max(current, Math.round(this.formerDemand * RESIDUAL_SHARE)));
	}

	// Follows changes at once that are larger than those by chance, and others by the
	// average since then.
	private double steady(double current) {
		double count = current * COUNT_PER_DEMAND;
		double steadyCount = this.steadyDemand * COUNT_PER_DEMAND;
		double deviation = Math.sqrt(Math.max(1, Math.max(count, steadyCount)));
		boolean changed = Math.abs(count - steadyCount) > deviation * CHANCE_DEVIATIONS;
		this.steadySamples = changed ? 0 : this.steadySamples + 1;
		// The first count after a change may have begun before it.
		double weight = 1.0 / Math.clamp(this.steadySamples, 1, MAX_STEADY_SAMPLES);
		this.steadyDemand += weight * (current - this.steadyDemand);
		return this.steadyDemand;
	}

	/**
	 * The demand at one entry VM.
	 *
	 * @param requestsPer100Seconds the requests in 100 seconds at the present rate
	 * @param reportedAt the monotonic time in milliseconds
	 */
	private record VmDemand(int requestsPer100Seconds, long reportedAt) {
	}

}
