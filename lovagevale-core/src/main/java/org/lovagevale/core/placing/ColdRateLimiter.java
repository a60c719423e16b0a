package org.lovagevale.core.placing;

/**
 * Limits the rate of requests to a cold server.
 *
 * <p>
 * Invariant: one limiter allows at most the rate plus one request in any second. A server
 * has more than one limiter only while two processes both consider themselves the owner
 * of its service. Not thread-safe.
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
