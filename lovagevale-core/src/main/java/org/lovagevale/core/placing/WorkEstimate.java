package org.lovagevale.core.placing;

/**
 * Learns how long the requests of a route usually take at an undisturbed server.
 *
 * <p>
 * Short times count more than long ones, since disturbances only make requests longer.
 * Not thread-safe.
 */
public final class WorkEstimate {

	/** Share of the target that is assumed before the first response. */
	private static final double INITIAL_TARGET_SHARE = 0.4;

	private static final double SHORTER_WEIGHT = 0.15;

	private static final double LONGER_WEIGHT = 0.05;

	private double millis;

	/**
	 * Creates an estimate.
	 * @param targetMs the target of the route in milliseconds
	 */
	public WorkEstimate(long targetMs) {
		this.millis = Math.max(1, targetMs * INITIAL_TARGET_SHARE);
	}

	/**
	 * Learns from a response.
	 * @param tookMs the time it took in milliseconds
	 */
	public void recordDuration(long tookMs) {
		double weight = (tookMs < this.millis) ? SHORTER_WEIGHT : LONGER_WEIGHT;
		this.millis = Math.max(1, this.millis + (tookMs - this.millis) * weight);
	}

	/**
	 * Returns the estimate.
	 * @return milliseconds, at least 1
	 */
	public int millis() {
		return (int) Math.round(this.millis);
	}

}
