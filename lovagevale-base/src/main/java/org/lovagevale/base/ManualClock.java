package org.lovagevale.base;

/**
 * A clock that moves only when told to, for tests and for replaying recorded sessions.
 *
 * <p>
 * Not thread-safe.
 */
public final class ManualClock implements Clock {

	private long millis;

	private long epochMillis;

	/**
	 * Creates a clock.
	 * @param millis the first monotonic time in milliseconds
	 * @param epochMillis the first wall time in milliseconds since the epoch
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
	 * Moves both times forward.
	 * @param millis the distance in milliseconds, not negative
	 */
	public void advance(long millis) {
		if (millis < 0) {
			throw new IllegalArgumentException("millis must not be negative: " + millis);
		}
		this.millis += millis;
		this.epochMillis += millis;
	}

}
