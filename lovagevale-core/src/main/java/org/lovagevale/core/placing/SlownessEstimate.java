package org.lovagevale.core.placing;

/**
 * Learns how long work takes on average at the servers of a service, and decides when a
 * request should rather wait than begin at a slow one.
 *
 * <p>
 * Answers short disturbances by other users of the servers' machines: a server that is
 * slow now is probably not slow a moment later, while work that begins now stays slow to
 * its end. Not thread-safe.
 */
final class SlownessEstimate {

	/** What is assumed before any report, as a factor of the usual time. */
	private static final double INITIAL_FACTOR = 1.5;

	private static final double SMOOTHING_REPORTS = 200;

	private static final double PERCENT = 100;

	/** A disturbance is expected to end within this time, in milliseconds. */
	private static final double MAX_DISTURBANCE_MS = 120;

	/** A request that waited this long takes any server, in milliseconds. */
	static final long MAX_WAIT_MS = 1_000;

	/** The load of a server that changes this quickly is asked for again, in ms. */
	static final long FRESH_LOAD_MS = 15;

	/**
	 * A request waits for fresh loads at most this long, in milliseconds. Several times
	 * what a health check takes within a region.
	 */
	static final long MAX_FRESH_LOAD_WAIT_MS = 25;

	/** Servers that are slowed by less than this on average are taken as steady. */
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
	 * Tells whether a request loses more at a server than by waiting for another moment.
	 * @param workMs how long the request usually takes, in milliseconds
	 * @param factor how much longer it takes at the server now
	 * @return {@code true} if it should wait
	 */
	boolean isWorthWaiting(int workMs, double factor) {
		return workMs * (factor - average()) > MAX_DISTURBANCE_MS;
	}

	/**
	 * Returns how old the load of a server may be when a request is placed on it.
	 * @param waitedMs how long the request has waited, in milliseconds
	 * @return milliseconds, {@link Long#MAX_VALUE} if the age does not matter
	 */
	long maxLoadAgeMs(long waitedMs) {
		boolean steady = !this.hasReports || average() < STEADY_FACTOR;
		return (steady || waitedMs >= MAX_FRESH_LOAD_WAIT_MS) ? Long.MAX_VALUE : FRESH_LOAD_MS;
	}

}
