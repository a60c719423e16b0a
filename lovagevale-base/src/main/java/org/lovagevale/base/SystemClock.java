package org.lovagevale.base;

/**
 * The system clock of the Java virtual machine.
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
