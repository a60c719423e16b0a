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
final class Slowness {

	/** What is assumed before any report, as a factor of the usual time. */
	private static final double FIRST = 1.5;

	private static final double MEMORY = 200;

	private static final double PERCENT = 100;

	/** A disturbance is expected to end within this time, in milliseconds. */
	private static final double DISTURBANCE_MS = 120;

	/** A request that waited this long takes any server, in milliseconds. */
	static final long MOST_WAIT_MS = 1_000;

	private double average = FIRST;

	void reported(ServerLoad load) {
		if (load.isKnown()) {
			this.average += (load.slownessPercent() / PERCENT - this.average) / MEMORY;
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
		return workMs * (factor - average()) > DISTURBANCE_MS;
	}

}
