package org.lovagevale.base;

/**
 * A clock that returns the time of {@link System#nanoTime()} and
 * {@link System#currentTimeMillis()} in milliseconds.
 *
 * <p>
 * Thread-safe.
 */
public final class SystemClock implements Clock {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	@Override
	public long millis() {
		return Math.floorDiv(System.nanoTime(), NANOS_PER_MILLI);
	}

	@Override
	public long epochMillis() {
		return System.currentTimeMillis();
	}

}
