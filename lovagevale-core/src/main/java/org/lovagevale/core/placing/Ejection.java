package org.lovagevale.core.placing;

/**
 * Temporarily removes a failing server from selection.
 *
 * <p>
 * A server is ejected after {@link #CONSECUTIVE_FAILURES_TO_EJECT} failures in a row or
 * when its share of failures, averaged over about {@link #SMOOTHING_RESPONSES} responses,
 * exceeds {@link #MAX_FAILURE_SHARE}. The ejection time doubles with each ejection and is
 * halved by each success while the share of failures is low. Not thread-safe.
 */
final class Ejection {

	/** Consecutive failures after which a server is ejected. */
	static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;

	/** Share of failed responses above which a server is ejected. */
	static final double MAX_FAILURE_SHARE = 0.3;

	/** Time of the first ejection, in milliseconds. */
	static final long INITIAL_EJECTION_MS = 1_000;

	/** Upper bound of the ejection time, in milliseconds. */
	static final long MAX_EJECTION_MS = 8_000;

	/** Number of responses over which the share of failures is averaged. */
	private static final double SMOOTHING_RESPONSES = 6;

	/**
	 * Base ejection time of an unreachable server, in milliseconds. It is doubled for
	 * each consecutive failure, the first one included, but at most four times.
	 */
	private static final long UNREACHABLE_EJECTION_MS = 400;

	private double failureShare;

	private int consecutiveFailures;

	private long nextEjectionMs = INITIAL_EJECTION_MS;

	private long ejectedUntil = Long.MIN_VALUE;

	boolean isEjected(long now) {
		return now < this.ejectedUntil;
	}

	long ejectedUntil() {
		return this.ejectedUntil;
	}

	double failureShare() {
		return this.failureShare;
	}

	void recordSuccess() {
		this.consecutiveFailures = 0;
		this.failureShare -= this.failureShare / SMOOTHING_RESPONSES;
		if (this.failureShare < MAX_FAILURE_SHARE / 2) {
			this.nextEjectionMs = Math.max(INITIAL_EJECTION_MS, this.nextEjectionMs / 2);
		}
	}

	/**
	 * Counts a failure.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if this failure ejects the server
	 */
	boolean recordFailure(long now) {
		this.consecutiveFailures++;
		this.failureShare += (1 - this.failureShare) / SMOOTHING_RESPONSES;
		if (isEjected(now)
				|| this.consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT && this.failureShare <= MAX_FAILURE_SHARE) {
			return false;
		}
		eject(this.nextEjectionMs, now);
		this.nextEjectionMs = Math.min(MAX_EJECTION_MS, this.nextEjectionMs * 2);
		// The next failure after the ejection ejects the server again.
		this.consecutiveFailures = CONSECUTIVE_FAILURES_TO_EJECT - 1;
		return true;
	}

	/**
	 * Records that the server rejected a request although it had a free slot. The server
	 * is not ejected, since the request was not executed and only lost time.
	 */
	void recordRejectionWithFreeSlot() {
		this.failureShare += (1 - this.failureShare) / SMOOTHING_RESPONSES;
	}

	void recordUnreachable(long now) {
		this.consecutiveFailures++;
		eject(Math.min(MAX_EJECTION_MS, UNREACHABLE_EJECTION_MS << Math.min(this.consecutiveFailures, 4)), now);
	}

	void recordReachable() {
		if (this.failureShare < MAX_FAILURE_SHARE) {
			this.consecutiveFailures = 0;
			this.ejectedUntil = Long.MIN_VALUE;
		}
	}

	private void eject(long durationMs, long now) {
		this.ejectedUntil = Math.max(this.ejectedUntil, now + durationMs);
	}

}
