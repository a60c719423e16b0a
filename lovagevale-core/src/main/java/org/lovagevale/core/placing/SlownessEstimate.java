package org.lovagevale.core.placing;

/**
 * Averages the slowness that the servers of a service report, and decides when a request
 * should wait instead of starting on a slow server.
 *
 * <p>
 * This handles short disturbances by other workloads on the machines of the servers: a
 * server that is slow now is probably fast a moment later, but a request that starts now
 * stays slow until it completes. Not thread-safe.
 */
final class SlownessEstimate {

	/** Assumed average before the first report, as a factor of the usual time. */
	private static final double INITIAL_FACTOR = 1.5;

	/** Number of reports over which the slowness is averaged. */
	private static final double SMOOTHING_REPORTS = 200;

	private static final double PERCENT = 100;

	/** Time within which a disturbance is expected to end, in milliseconds. */
	private static final double MAX_DISTURBANCE_MS = 120;

	/** Time after which a queued request accepts a slow server, in milliseconds. */
	static final long MAX_WAIT_MS = 1_000;

	/**
	 * Maximum age of a load report in a service whose servers change quickly, in
	 * milliseconds; older loads are requested again.
	 */
	static final long FRESH_LOAD_MS = 15;

	/**
	 * Maximum time that a request waits for fresh load reports, in milliseconds. It is
	 * several times the duration of a health check within a region.
	 */
	static final long MAX_FRESH_LOAD_WAIT_MS = 25;

	/** Average slowness below which servers count as steady. */
	private static final double STEADY_FACTOR = 1.1;

	private double average = INITIAL_FACTOR;

	private boolean hasReports;

	void recordLoad(ServerLoad load) {
		if (load.isKnown()) {
			this.hasReports = true;
			this.average += (load.slownessPercent() / PERCENT - this.average) / SMOOTHING_REPORTS;
		}
	}

	double average() {
		return Math.max(1, this.average);
	}

	/**
	 * Tells whether a request loses more time on a slow server than by waiting for the
	 * disturbance to end.
	 * @param workMs the usual processing time of the request, in milliseconds
	 * @param factor the current slowness of the server, as a factor of the usual time
	 * @return {@code true} if the request should wait
	 */
	boolean isWorthWaiting(int workMs, double factor) {
		return workMs * (factor - average()) > MAX_DISTURBANCE_MS;
	}

	/**
	 * Tells whether the servers of the service hardly ever report that they are slow.
	 * @return {@code true} if they do not, or report no load at all
	 */
	boolean isSteady() {
		return !this.hasReports || average() < STEADY_FACTOR;
	}

	/**
	 * Returns the maximum age of the load report of a server that a request is placed on.
	 * @param waitedMs the time that the request has waited, in milliseconds
	 * @return the age in milliseconds, {@link Long#MAX_VALUE} if it does not matter
	 */
	long maxLoadAgeMs(long waitedMs) {
		return (isSteady() || waitedMs >= MAX_FRESH_LOAD_WAIT_MS) ? Long.MAX_VALUE : FRESH_LOAD_MS;
	}

}
