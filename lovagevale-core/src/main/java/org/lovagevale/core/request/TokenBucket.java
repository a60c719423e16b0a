package org.lovagevale.core.request;

/**
 * A token bucket that limits the rate of events and allows bounded bursts.
 *
 * <p>
 * Not thread-safe.
 */
final class TokenBucket {

	private static final double MS_PER_SECOND = 1_000;

	private final int ratePerSecond;

	private final int burst;

	private double tokens;

	private long filledAt;

	TokenBucket(int ratePerSecond, int burst, long now) {
		this.ratePerSecond = ratePerSecond;
		this.burst = burst;
		this.tokens = burst + 1;
		this.filledAt = now;
	}

	boolean hasLimits(int ratePerSecond, int burst) {
		return this.ratePerSecond == ratePerSecond && this.burst == burst;
	}

	/**
	 * Takes a token if one is available.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if a token was taken
	 */
	boolean tryTake(long now) {
		double added = (now - this.filledAt) * this.ratePerSecond / MS_PER_SECOND;
		this.tokens = Math.min(this.burst + 1, this.tokens + added);
		this.filledAt = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	/**
	 * Returns the time until the next token.
	 * @return the time in milliseconds, at least 1
	 */
	long waitMs() {
		return Math.max(1, (long) Math.ceil((1 - this.tokens) * MS_PER_SECOND / this.ratePerSecond));
	}

}
