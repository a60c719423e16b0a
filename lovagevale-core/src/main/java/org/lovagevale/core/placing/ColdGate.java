package org.lovagevale.core.placing;

/**
 * Spaces out the requests to a cold server.
 *
 * <p>
 * Invariant: one gate lets through at most the rate plus one request in any second.
 * Several gates for one server exist only while two processes believe to own it. Not
 * thread-safe.
 */
final class ColdGate {

	private static final double MILLIS_PER_SECOND = 1_000;

	private long nextAt = Long.MIN_VALUE;

	boolean isOpen(long now) {
		return now >= this.nextAt;
	}

	void pass(double requestsPerSecond, long now) {
		this.nextAt = now + (long) Math.ceil(MILLIS_PER_SECOND / Math.max(requestsPerSecond, 1.0 / MILLIS_PER_SECOND));
	}

}
