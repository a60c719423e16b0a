package org.lovagevale.core.placing;

/**
 * Decides whether the last free slot of a server is used, from the measured slowdown of
 * servers whose slots are all in use.
 *
 * <p>
 * If requests slow down by more than the last slot adds in capacity, a full server serves
 * fewer requests than a server with one free slot, so its last slot should stay free. Not
 * thread-safe.
 */
final class LastSlotPolicy {

	/** Assumed slowdown of a full server before the first response. */
	private static final double INITIAL_FULL_FACTOR = 1.2;

	/** Number of responses over which each factor is averaged. */
	private static final double SMOOTHING_RESPONSES = 30;

	/**
	 * A last slot is used once in this many responses, so that the slowdown is still
	 * measured. Attempts to place are not counted: a long queue is tried again for each
	 * free slot, and would use all last slots.
	 */
	private static final int EXPLORATION_INTERVAL = 20;

	private double notFullFactor = 1;

	private double fullFactor = INITIAL_FULL_FACTOR;

	private int responsesSinceExploration;

	/**
	 * Updates the slowdown from a response.
	 * @param wasFull whether the request took the last slot
	 * @param responseTimeFactor the response time as a factor of the usual time
	 */
	void recordResponse(boolean wasFull, double responseTimeFactor) {
		this.responsesSinceExploration++;
		if (wasFull) {
			this.fullFactor += (responseTimeFactor - this.fullFactor) / SMOOTHING_RESPONSES;
		}
		else {
			this.notFullFactor += (responseTimeFactor - this.notFullFactor) / SMOOTHING_RESPONSES;
		}
	}

	/**
	 * Returns how much longer requests take on a full server than on others.
	 * @return the factor, at least 1
	 */
	double slowdownFactor() {
		return Math.max(1, this.fullFactor / Math.max(this.notFullFactor, Double.MIN_NORMAL));
	}

	/**
	 * Tells whether using the last slot of a server increases its throughput.
	 * @param slots the number of slots of the server
	 * @return {@code true} if it does
	 */
	boolean isWorthUsing(int slots) {
		return slots <= 1 || slowdownFactor() < (double) slots / (slots - 1);
	}

	/**
	 * Tells whether to use a last slot for exploration although {@link #isWorthUsing}
	 * advises against it.
	 * @return {@code true} at most once in {@link #EXPLORATION_INTERVAL} responses
	 */
	boolean shouldExplore() {
		if (this.responsesSinceExploration < EXPLORATION_INTERVAL) {
			return false;
		}
		this.responsesSinceExploration = 0;
		return true;
	}

}
