package org.lovagevale.core.placing;

/**
 * Takes a server that fails out of use for a while.
 *
 * <p>
 * A server is ejected after {@link #STREAK} failures in a row or when its share of
 * failures over about {@link #MEMORY} responses exceeds {@link #MOST_FAILING}. The time
 * doubles with each ejection and shrinks with each success. Not thread-safe.
 */
final class Ejection {

	static final int CONSECUTIVE_FAILURES = 3;

	static final double MAX_FAILURE_SHARE = 0.3;

	static final long INITIAL_EJECTION_MS = 1_000;

	static final long MAX_EJECTION_MS = 8_000;

	private static final double SMOOTHING_RESPONSES = 6;

	/**
	 * A server that cannot be reached is tried again after this time, in milliseconds.
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
	 * @return {@code true} if the server is ejected by it
	 */
	boolean recordFailure(long now) {
		this.consecutiveFailures++;
		this.failureShare += (1 - this.failureShare) / SMOOTHING_RESPONSES;
		if (isEjected(now)
				|| this.consecutiveFailures < CONSECUTIVE_FAILURES && this.failureShare <= MAX_FAILURE_SHARE) {
			return false;
		}
		eject(this.nextEjectionMs, now);
		this.nextEjectionMs = Math.min(MAX_EJECTION_MS, this.nextEjectionMs * 2);
		this.consecutiveFailures = CONSECUTIVE_FAILURES - 1;
		return true;
	}

	/**
	 * Notes that the server rejected a request although it had room. It is not ejected,
	 * since the request lost nothing but time.
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

	private void eject(long ms, long now) {
		this.ejectedUntil = Math.max(this.ejectedUntil, now + ms);
	}

}
