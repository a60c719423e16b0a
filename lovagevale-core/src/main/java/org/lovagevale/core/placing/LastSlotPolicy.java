package org.lovagevale.core.placing;

/**
 * Learns how much longer work takes at servers of which all slots are used.
 *
 * <p>
 * Where work takes longer by more than the last slot adds, a full server serves fewer
 * requests than one with a slot left, so the last slot is better left alone. Not
 * thread-safe.
 */
final class LastSlotPolicy {

	/** What is assumed before anything was measured, as a factor. */
	private static final double INITIAL_FULL_FACTOR = 1.2;

	private static final double SMOOTHING_RESPONSES = 30;

	/** One in this many requests that could use the last slot does so, to learn. */
	private static final int EXPLORATION_INTERVAL = 20;

	private double otherFactor = 1;

	private double fullFactor = INITIAL_FULL_FACTOR;

	private int explorationCandidates;

	/**
	 * Learns from a response.
	 * @param wasFull whether the request took the last slot
	 * @param pace the time it took as a factor of the usual time
	 */
	void recordResponse(boolean wasFull, double pace) {
		if (wasFull) {
			this.fullFactor += (pace - this.fullFactor) / SMOOTHING_RESPONSES;
		}
		else {
			this.otherFactor += (pace - this.otherFactor) / SMOOTHING_RESPONSES;
		}
	}

	/**
	 * Returns how much longer work takes at a full server.
	 * @return a factor, at least 1
	 */
	double slowdownFactor() {
		return Math.max(1, this.fullFactor / Math.max(this.otherFactor, Double.MIN_NORMAL));
	}

	/**
	 * Tells whether a server serves more requests if its last slot is used.
	 * @param slots its slots
	 * @return {@code true} if it does
	 */
	boolean isWorthUsing(int slots) {
		return slots <= 1 || slowdownFactor() < (double) slots / (slots - 1);
	}

	/**
	 * Tells whether to use a last slot although it is not worth it.
	 * @return {@code true} once in a while
	 */
	boolean shouldExplore() {
		this.explorationCandidates++;
		return this.explorationCandidates % EXPLORATION_INTERVAL == 0;
	}

}
