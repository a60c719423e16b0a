package org.lovagevale.core.placing;

/**
 * Spaces out the requests to a cold server.
 *
 * <p>
 * Invariant: one gate lets through at most the rate plus one request in any second.
 * Several gates for one server exist only while two processes believe to own it. Not
 * thread-safe.
 */
final class ColdRateLimiter {

	private static final double MILLIS_PER_SECOND = 1_000;

	private long nextAllowedAt = Long.MIN_VALUE;

	boolean allowsRequest(long now) {
		return now >= this.nextAllowedAt;
	}

	void recordRequest(double requestsPerSecond, long now) {
		this.nextAllowedAt = now
				+ (long) Math.ceil(MILLIS_PER_SECOND / Math.max(requestsPerSecond, 1.0 / MILLIS_PER_SECOND));
	}

}
