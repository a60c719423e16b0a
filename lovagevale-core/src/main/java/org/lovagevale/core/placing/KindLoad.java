package org.lovagevale.core.placing;

/**
 * The load of one kind of requests of a service, in usual processing time per time.
 *
 * <p>
 * Not thread-safe.
 */
final class KindLoad {

	/** Period of the present demand and the granted work, in milliseconds. */
	private static final double RECENT_PERIOD_MS = 1_000;

	/**
	 * Period of the usual demand, in milliseconds. It is longer than the bursts that are
	 * handled, and short enough to follow the time of day.
	 */
	private static final double USUAL_PERIOD_MS = 20_000;

	/**
	 * Standard deviations of independent arrivals in {@link #RECENT_PERIOD_MS} that are
	 * no burst. Kinds with few requests vary by more than a tenth from second to second.
	 */
	private static final double NOISE_FACTOR = 2;

	private final DecayingRate demand;

	private final DecayingRate usualDemand;

	private final DecayingRate granted;

	private int workMs;

	private int priority;

	private long requestedAt;

	KindLoad(long now) {
		this.demand = new DecayingRate(RECENT_PERIOD_MS, now);
		this.usualDemand = new DecayingRate(USUAL_PERIOD_MS, now);
		this.granted = new DecayingRate(RECENT_PERIOD_MS, now);
	}

	void recordRequest(SlotRequest request, long now) {
		this.demand.add(request.workMs(), now);
		this.usualDemand.add(request.workMs(), now);
		this.workMs = request.workMs();
		this.priority = request.priority();
		this.requestedAt = now;
	}

	void recordGrant(SlotRequest request, long now) {
		this.granted.add(request.workMs(), now);
	}

	int priority() {
		return this.priority;
	}

	long requestedAt() {
		return this.requestedAt;
	}

	double demand(long now) {
		return this.demand.perMs(now);
	}

	/**
	 * Returns the demand up to which the kind makes no burst.
	 * @param now the monotonic time in milliseconds
	 * @return the processing time per time
	 */
	double usualDemand(long now) {
		double usual = this.usualDemand.perMs(now);
		return usual + NOISE_FACTOR * Math.sqrt(usual * this.workMs / RECENT_PERIOD_MS);
	}

	double granted(long now) {
		return this.granted.perMs(now);
	}

}
