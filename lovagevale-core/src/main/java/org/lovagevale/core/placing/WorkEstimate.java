package org.lovagevale.core.placing;

/**
 * Estimates how long the requests of a route usually take on a server that is not slowed
 * down.
 *
 * <p>
 * Short durations are weighted more than long ones, since disturbances only prolong
 * requests. Not thread-safe.
 */
public final class WorkEstimate {

	/** Initial estimate before the first response, as a share of the target latency. */
	private static final double INITIAL_TARGET_SHARE = 0.4;

	/** Weight of a duration below the estimate. */
	private static final double SHORTER_WEIGHT = 0.15;

	/** Weight of a duration above the estimate. */
	private static final double LONGER_WEIGHT = 0.05;

	private double millis;

	/**
	 * Creates an estimate.
	 * @param targetMs the target latency of the route in milliseconds
	 */
	public WorkEstimate(long targetMs) {
		this.millis = Math.max(1, targetMs * INITIAL_TARGET_SHARE);
	}

	/**
	 * Updates the estimate from a response.
	 * @param tookMs the duration of the request in milliseconds
	 */
	public void recordDuration(long tookMs) {
		double weight = (tookMs < this.millis) ? SHORTER_WEIGHT : LONGER_WEIGHT;
		this.millis = Math.max(1, this.millis + (tookMs - this.millis) * weight);
	}

	/**
	 * Returns the estimate.
	 * @return the estimate in milliseconds, at least 1
	 */
	public int millis() {
		return (int) Math.round(this.millis);
	}

}
