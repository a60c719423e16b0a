package org.lovagevale.core.placing;

/**
 * Learns how much longer work takes at servers of which all slots are used.
 *
 * <p>
 * Where work takes longer by more than the last slot adds, a full server serves fewer
 * requests than one with a slot left, so the last slot is better left alone. Not
 * thread-safe.
 */
final class LastSlot {

	/** What is assumed before anything was measured, as a factor. */
	private static final double FIRST_FACTOR = 1.2;

	private static final double MEMORY = 30;

	/** One in this many requests that could use the last slot does so, to learn. */
	private static final int EXPLORE_EVERY = 20;

	private double usual = 1;

	private double full = FIRST_FACTOR;

	private int offers;

	/**
	 * Learns from a response.
	 * @param wasFull whether the request took the last slot
	 * @param pace the time it took as a factor of the usual time
	 */
	void took(boolean wasFull, double pace) {
		if (wasFull) {
			this.full += (pace - this.full) / MEMORY;
		}
		else {
			this.usual += (pace - this.usual) / MEMORY;
		}
	}

	/**
	 * Returns how much longer work takes at a full server.
	 * @return a factor, at least 1
	 */
	double factor() {
		return Math.max(1, this.full / Math.max(this.usual, Double.MIN_NORMAL));
	}

	/**
	 * Tells whether a server serves more requests if its last slot is used.
	 * @param slots its slots
	 * @return {@code true} if it does
	 */
	boolean isWorthUsing(int slots) {
		return slots <= 1 || factor() < (double) slots / (slots - 1);
	}

	/**
	 * Tells whether to use a last slot although it is not worth it.
	 * @return {@code true} once in a while
	 */
	boolean explore() {
		this.offers++;
		return this.offers % EXPLORE_EVERY == 0;
	}

}
