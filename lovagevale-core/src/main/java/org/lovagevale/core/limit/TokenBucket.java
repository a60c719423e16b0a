package org.lovagevale.core.limit;

/**
 * A token bucket that limits the rate of events and allows bounded bursts.
 *
 * <p>
 * Invariant: the tokens taken in any period are at most the capacity at its start plus
 * what was added at the rates in force. Not thread-safe.
 */
public final class TokenBucket {

	private static final double MS_PER_SECOND = 1_000;

	private double ratePerSecond;

	private double capacity;

	private double tokens;

	private long filledAt;

	/**
	 * Creates a bucket.
	 * @param ratePerSecond the tokens added per second, positive
	 * @param capacity the maximum number of tokens, at least 1
	 * @param tokens the initial number of tokens
	 * @param now the monotonic time in milliseconds
	 * @throws IllegalArgumentException if the rate is not positive or the capacity below
	 * 1
	 */
	public TokenBucket(double ratePerSecond, double capacity, double tokens, long now) {
		requireValid(ratePerSecond, capacity);
		this.ratePerSecond = ratePerSecond;
		this.capacity = capacity;
		this.tokens = Math.min(capacity, tokens);
		this.filledAt = now;
	}

	private static void requireValid(double ratePerSecond, double capacity) {
		if (!(ratePerSecond > 0) || !(capacity >= 1)) {
			throw new IllegalArgumentException(
					"rate " + ratePerSecond + " must be positive, capacity " + capacity + " at least 1");
		}
	}

	/**
	 * Tells whether the bucket has the given limits.
	 * @param expectedRate the tokens added per second
	 * @param expectedCapacity the maximum number of tokens
	 * @return {@code true} if it has
	 */
	public boolean hasLimits(double expectedRate, double expectedCapacity) {
		return this.ratePerSecond == expectedRate && this.capacity == expectedCapacity;
	}

	/**
	 * Changes the limits. Tokens are added at the previous rate up to now; those above
	 * the new capacity are lost.
	 * @param newRate the tokens added per second, positive
	 * @param newCapacity the maximum number of tokens, at least 1
	 * @param now the monotonic time in milliseconds
	 * @throws IllegalArgumentException if the rate is not positive or the capacity below
	 * 1
	 */
	public void setLimits(double newRate, double newCapacity, long now) {
		requireValid(newRate, newCapacity);
		fill(now);
		this.ratePerSecond = newRate;
		this.capacity = newCapacity;
		this.tokens = Math.min(newCapacity, this.tokens);
	}

	/**
	 * Takes a token if one is available.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if a token was taken
	 */
	public boolean tryTake(long now) {
		return take(1, now) == 1;
	}

	/**
	 * Takes tokens as far as they are available.
	 * @param wanted the number of tokens, not negative
	 * @param now the monotonic time in milliseconds
	 * @return the number of tokens taken
	 */
	public int take(int wanted, long now) {
		fill(now);
		int taken = (int) Math.max(0, Math.min(wanted, Math.floor(this.tokens)));
		this.tokens -= taken;
		return taken;
	}

	private void fill(long now) {
		double added = Math.max(0, now - this.filledAt) * this.ratePerSecond / MS_PER_SECOND;
		this.tokens = Math.min(this.capacity, this.tokens + added);
		this.filledAt = Math.max(this.filledAt, now);
	}

	/**
	 * Returns the time until the next token, as of the last operation.
	 * @return the time in milliseconds, at least 1
	 */
	public long waitMs() {
		return Math.max(1, (long) Math.ceil((1 - this.tokens) * MS_PER_SECOND / this.ratePerSecond));
	}

}
