package org.lovagevale.core.fleet;

/**
 * A token bucket that limits the bytes sent on one link.
 *
 * <p>
 * Invariant: the bucket is overdrawn by at most the bytes that are refilled in one
 * second, so that one large message does not block a link for long. Not thread-safe.
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
	 * Refills the bucket and returns the bytes that may be sent now.
	 * @param now the time in monotonic milliseconds
	 * @param bytesPerSecond the refill rate, which is also the capacity of the bucket
	 * @return the number of bytes, negative while the bucket is overdrawn
	 */
	long availableBytes(long now, int bytesPerSecond) {
		double refill = (now - this.refilledAt) * bytesPerSecond / MILLIS_PER_SECOND;
		this.tokens = Math.min(bytesPerSecond, this.tokens + refill);
		this.refilledAt = now;
		return (long) this.tokens;
	}

	/**
	 * Takes the bytes of a message from the bucket, which may become overdrawn.
	 * @param bytes the size of the message in bytes
	 * @param bytesPerSecond the refill rate
	 */
	void charge(long bytes, int bytesPerSecond) {
		this.tokens = Math.max(-bytesPerSecond, this.tokens - bytes);
	}

}
