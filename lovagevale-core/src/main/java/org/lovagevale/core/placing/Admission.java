package org.lovagevale.core.placing;

/**
 * Decides whether a request that finds no free slot may wait.
 *
 * <p>
 * Limits the queue under a lasting overload: a request is queued only if the work ahead
 * of it leaves enough time to answer it within its target latency. Other requests are
 * refused immediately, with the expected time until the work ahead is done. Stateless and
 * thread-safe.
 */
final class Admission {

	/** Processing time on a busy server, as a factor of the usual time. */
	static final double BUSY_FACTOR = 1.9;

	/**
	 * Share of its own processing time that a request may always wait, even if it then
	 * misses its target.
	 */
	private static final double MIN_WAIT_SHARE = 0.3;

	/** Lower bound of the suggested retry delay, in milliseconds. */
	private static final int MIN_RETRY_AFTER_MS = 150;

	/** Suggested retry delay if no server may be used, in milliseconds. */
	private static final int NO_SERVER_RETRY_AFTER_MS = 700;

	private Admission() {
	}

	/**
	 * Decides whether a request may be queued.
	 * @param request the request
	 * @param workAheadMs the sum of the usual processing times of the requests queued
	 * ahead of it, in milliseconds
	 * @param slots the number of slots of the servers that it may use
	 * @return the verdict
	 */
	static Verdict decide(SlotRequest request, long workAheadMs, int slots) {
		if (slots == 0) {
			return new Verdict(false, RefusalCause.NO_SERVER, NO_SERVER_RETRY_AFTER_MS);
		}
		return decide(request, expectedWaitMs(workAheadMs, request.workMs(), slots));
	}

	/**
	 * Decides whether a request may be queued.
	 * @param request the request
	 * @param waitMs the expected wait in milliseconds
	 * @return the verdict
	 */
	static Verdict decide(SlotRequest request, double waitMs) {
		double spareMs = request.targetLeftMs() - request.workMs() * BUSY_FACTOR;
		double maxWaitMs = Math.max(spareMs, request.workMs() * MIN_WAIT_SHARE);
		if (waitMs <= maxWaitMs && waitMs < request.timeLeftMs()) {
			return new Verdict(true, RefusalCause.OVERLOAD, 0);
		}
		return new Verdict(false, RefusalCause.OVERLOAD, Math.max(MIN_RETRY_AFTER_MS, (int) waitMs));
	}

	/**
	 * Decides whether the request of a caller that was rejected before may be queued. It
	 * may miss its target, but not its timeout.
	 * @param request the request
	 * @param workAheadMs the sum of the usual processing times of the requests queued
	 * ahead of it, in milliseconds
	 * @param slots the number of slots of the servers that it may use
	 * @return the verdict
	 */
	static Verdict decideReturned(SlotRequest request, long workAheadMs, int slots) {
		if (slots == 0) {
			return new Verdict(false, RefusalCause.NO_SERVER, NO_SERVER_RETRY_AFTER_MS);
		}
		return decideByTimeout(request, expectedWaitMs(workAheadMs, request.workMs(), slots));
	}

	/**
	 * Decides whether a request that may miss its target, but not its timeout, may be
	 * queued.
	 * @param request the request
	 * @param waitMs the expected wait in milliseconds
	 * @return the verdict
	 */
	static Verdict decideByTimeout(SlotRequest request, double waitMs) {
		boolean admitted = waitMs <= request.timeLeftMs() - request.workMs() * BUSY_FACTOR;
		return new Verdict(admitted, RefusalCause.OVERLOAD, admitted ? 0 : Math.max(MIN_RETRY_AFTER_MS, (int) waitMs));
	}

	static double expectedWaitMs(long workAheadMs, int workMs, int slots) {
		return (workAheadMs + workMs) * BUSY_FACTOR / slots;
	}

	/**
	 * The decision whether a request may be queued.
	 *
	 * @param admitted whether the request may be queued
	 * @param cause the reason for the refusal; meaningless if admitted
	 * @param retryAfterMs the suggested delay before a retry, in milliseconds; 0 if
	 * admitted
	 */
	record Verdict(boolean admitted, RefusalCause cause, int retryAfterMs) {
	}

}
