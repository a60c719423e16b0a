package org.lovagevale.core.fleet;

/**
 * The heartbeat counter of this process and the times at which it was incremented.
 *
 * <p>
 * Peers echo the counter in their digests. A digest that echoes a value was written after
 * the counter reached that value, regardless of how long the digest was in transit or
 * this process was paused. Not thread-safe.
 */
final class Heartbeat {

	/** A monotonic time before all others, used for an event that never happened. */
	static final long NEVER = Long.MIN_VALUE / 4;

	// Covers 64 s at the default digest interval; a value that is echoed later is too old
	// to be useful.
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

	/**
	 * Returns when the counter reached a value.
	 * @param beat the value
	 * @return the time in monotonic milliseconds, {@link #NEVER} if the counter did not
	 * reach the value or the time is no longer known
	 */
	long incrementedAt(long beat) {
		boolean isKnown = beat > 0 && beat <= this.beat && beat > this.beat - HISTORY_LENGTH;
		return isKnown ? this.incrementedAt[index(beat)] : NEVER;
	}

	private static int index(long beat) {
		return (int) (beat % HISTORY_LENGTH);
	}

}
