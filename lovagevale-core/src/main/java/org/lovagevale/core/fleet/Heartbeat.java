package org.lovagevale.core.fleet;

/**
 * The heartbeat counter of this process and the times at which it was increased.
 *
 * <p>
 * A peer returns the counter with its digests. A digest that carries a value was written
 * after that value was issued, however long it was under way or this process was paused.
 * Not thread-safe.
 */
final class Heartbeat {

	/** A time before every other time. */
	static final long NEVER = Long.MIN_VALUE / 4;

	// 64 s with the usual digest interval; a value returned later proves nothing of use.
	private static final int HISTORY_LENGTH = 256;

	private final long[] issuedAt = new long[HISTORY_LENGTH];

	private long beat;

	long beat() {
		return this.beat;
	}

	void increment(long now) {
		this.beat++;
		this.issuedAt[index(this.beat)] = now;
	}

	long issuedAt(long beat) {
		boolean isInHistory = beat > 0 && beat <= this.beat && beat > this.beat - HISTORY_LENGTH;
		return isInHistory ? this.issuedAt[index(beat)] : NEVER;
	}

	private static int index(long beat) {
		return (int) (beat % HISTORY_LENGTH);
	}

}
