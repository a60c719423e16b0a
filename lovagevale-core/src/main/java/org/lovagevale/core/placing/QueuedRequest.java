package org.lovagevale.core.placing;

/**
 * A request that is queued for a slot.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param request the slot request
 * @param enqueuedAt the monotonic time at which it was queued, in milliseconds
 * @param callerReturn whether its caller was rejected before and returned as it was told
 */
record QueuedRequest(SlotRequest request, long enqueuedAt, CallerReturn callerReturn) {

	boolean hasReturned() {
		return this.callerReturn != CallerReturn.NONE;
	}

	long targetAt() {
		return this.enqueuedAt + this.request.targetLeftMs();
	}

	long deadline() {
		return this.enqueuedAt + this.request.timeLeftMs();
	}

	boolean canMeetTarget(long now) {
		return now + this.request.workMs() * Admission.BUSY_FACTOR <= targetAt();
	}

	/**
	 * Tells whether at most half of the usual processing time is left until the timeout.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the request is no longer worth placing
	 */
	boolean isTooLate(long now) {
		return now + this.request.workMs() / 2 >= deadline();
	}

}
