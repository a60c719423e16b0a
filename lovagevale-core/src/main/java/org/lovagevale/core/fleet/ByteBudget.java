package org.lovagevale.core.fleet;

/**
 * A token bucket for the bytes sent on one link.
 *
 * <p>
 * Invariant: the debt is at most the bytes of one second, so that one large message does
 * not silence a link for long. Not thread-safe.
 */
final class ByteBudget {

	private static final double MILLIS_PER_SECOND = 1_000.0;

	private double tokens;

	private long refilledAt;

	ByteBudget(long now, int bytesPerSecond) {
		this.tokens = bytesPerSecond;
		this.refilledAt = now;
	}

	/**
	 * Returns the bytes that may be sent.
	 * @param now the time in monotonic milliseconds
	 * @param bytesPerSecond the rate, and the most that can be saved up
	 * @return the bytes, negative while there is a debt
	 */
	long availableBytes(long now, int bytesPerSecond) {
		double refill = (now - this.refilledAt) * bytesPerSecond / MILLIS_PER_SECOND;
		this.tokens = Math.min(bytesPerSecond, this.tokens + refill);
		this.refilledAt = now;
		return (long) this.tokens;
	}

	void charge(long bytes, int bytesPerSecond) {
		this.tokens = Math.max(-bytesPerSecond, this.tokens - bytes);
	}

}
