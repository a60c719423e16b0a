package org.lovagevale.core.placing;

/**
 * Takes a server that fails out of use for a while.
 *
 * <p>
 * A server is ejected after {@link #STREAK} failures in a row or when its share of
 * failures over about {@link #MEMORY} responses exceeds {@link #MOST_FAILING}. The time
 * doubles with each ejection and shrinks with each success. Not thread-safe.
 */
final class Ejection {

	static final int STREAK = 3;

	static final double MOST_FAILING = 0.3;

	static final long FIRST_MS = 1_000;

	static final long LONGEST_MS = 8_000;

	private static final double MEMORY = 6;

	/**
	 * A server that cannot be reached is tried again after this time, in milliseconds.
	 */
	private static final long UNREACHABLE_MS = 400;

	private double failing;

	private int streak;

	private long timeMs = FIRST_MS;

	private long until = Long.MIN_VALUE;

	boolean isEjected(long now) {
		return now < this.until;
	}

	long until() {
		return this.until;
	}

	double failing() {
		return this.failing;
	}

	void succeeded() {
		this.streak = 0;
		this.failing -= this.failing / MEMORY;
		if (this.failing < MOST_FAILING / 2) {
			this.timeMs = Math.max(FIRST_MS, this.timeMs / 2);
		}
	}

	/**
	 * Counts a failure.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the server is ejected by it
	 */
	boolean failed(long now) {
		this.streak++;
		this.failing += (1 - this.failing) / MEMORY;
		if (isEjected(now) || this.streak < STREAK && this.failing <= MOST_FAILING) {
			return false;
		}
		eject(this.timeMs, now);
		this.timeMs = Math.min(LONGEST_MS, this.timeMs * 2);
		this.streak = STREAK - 1;
		return true;
	}

	/**
	 * Notes that the server rejected a request although it had room. It is not ejected,
	 * since the request lost nothing but time.
	 */
	void shedWithRoom() {
		this.failing += (1 - this.failing) / MEMORY;
	}

	void unreachable(long now) {
		this.streak++;
		eject(Math.min(LONGEST_MS, UNREACHABLE_MS << Math.min(this.streak, 4)), now);
	}

	void reachable() {
		if (this.failing < MOST_FAILING) {
			this.streak = 0;
			this.until = Long.MIN_VALUE;
		}
	}

	private void eject(long ms, long now) {
		this.until = Math.max(this.until, now + ms);
	}

}
