package org.lovagevale.core.fleet;

/**
 * The heartbeat counter of this process and the times at which it was incremented.
 *
 * <p>
 * Peers echo the counter in their digests. A digest that carries a value was written
 * after the counter reached that value, regardless of how long the digest was in transit
 * or this process was paused. Not thread-safe.
 */
final class Heartbeat {

	/** A monotonic time before all others; marks an event that never happened. */
	static final long NEVER = Long.MIN_VALUE / 4;

	// Covers 64 s at the default digest interval; a value echoed later is too old to be
	// useful.
	private static final int HISTORY_LENGTH = 256;

	private final long[] incrementedAt = new long[HISTORY_LENGTH];

	private long beat;

	long beat() {
		return this.beat;
	}

	void increment(long now) {
		this.beat++;
		this.incrementedAt[index(this.beat)] = now;
	}

	long incrementedAt(long beat) {
		boolean isInHistory = beat > 0 && beat <= this.beat && beat > this.beat - HISTORY_LENGTH;
		return isInHistory ? this.incrementedAt[index(beat)] : NEVER;
	}

	private static int index(long beat) {
		return (int) (beat % HISTORY_LENGTH);
	}

}
