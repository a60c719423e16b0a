package org.lovagevale.base;

/**
 * A clock that advances only on request, for tests and simulations.
 *
 * <p>
 * Not thread-safe.
 */
public final class ManualClock implements Clock {

	private long millis;

	private long epochMillis;

	/**
	 * Creates a clock.
	 * @param millis the initial monotonic time in milliseconds
	 * @param epochMillis the initial wall time in milliseconds since 1970-01-01T00:00:00Z
	 */
	public ManualClock(long millis, long epochMillis) {
		this.millis = millis;
		this.epochMillis = epochMillis;
	}

	@Override
	public long millis() {
		return this.millis;
	}

	@Override
	public long epochMillis() {
		return this.epochMillis;
	}

	/**
	 * Advances both times.
	 * @param millis the duration in milliseconds, not negative
	 * @throws IllegalArgumentException if the duration is negative
	 */
	public void advance(long millis) {
		if (millis < 0) {
			throw new IllegalArgumentException("millis must not be negative: " + millis);
		}
		this.millis += millis;
		this.epochMillis += millis;
	}

}
