package org.lovagevale.core.placing;

/**
 * Decides whether a request that finds no free slot may wait.
 *
 * <p>
 * Answers an overload that lasts: a request waits only if the work ahead leaves it time
 * to be answered within its target; others are rejected at once, with the time after
 * which the work ahead is done. Stateless and thread-safe.
 */
final class Admission {

	/** Work takes longer than usual while servers are busy. */
	static final double BUSY_FACTOR = 1.9;

	/** Share of the usual work that a request may wait in any case. */
	private static final double MIN_WAIT_SHARE = 0.3;

	private static final int MIN_RETRY_AFTER_MS = 150;

	private static final int NO_SERVER_RETRY_AFTER_MS = 700;

	private Admission() {
	}

	/**
	 * Decides.
	 * @param request the request
	 * @param workAheadMs the usual work of those that wait before it, in milliseconds
	 * @param slots the slots of the servers that it may use
	 * @return the verdict
	 */
	static Verdict decide(SlotRequest request, long workAheadMs, int slots) {
		if (slots == 0) {
			return new Verdict(false, RefusalCause.NO_SERVER, NO_SERVER_RETRY_AFTER_MS);
		}
		double wait = expectedWaitMs(workAheadMs, request.workMs(), slots);
		double spare = request.targetLeftMs() - request.workMs() * BUSY_FACTOR;
		double bound = Math.max(spare, request.workMs() * MIN_WAIT_SHARE);
		if (wait <= bound && wait < request.timeLeftMs()) {
			return new Verdict(true, RefusalCause.OVERLOAD, 0);
		}
		return new Verdict(false, RefusalCause.OVERLOAD, Math.max(MIN_RETRY_AFTER_MS, (int) wait));
	}

	static double expectedWaitMs(long workAheadMs, int workMs, int slots) {
		return (workAheadMs + workMs) * BUSY_FACTOR / slots;
	}

	/**
	 * Whether a request may wait.
	 *
	 * @param admitted whether it may
	 * @param cause why not, if it may not
	 * @param retryAfterMs when to come back if it may not, in milliseconds
	 */
	record Verdict(boolean admitted, RefusalCause cause, int retryAfterMs) {
	}

}
