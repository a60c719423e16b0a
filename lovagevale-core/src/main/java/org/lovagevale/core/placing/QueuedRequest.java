package org.lovagevale.core.placing;

/**
 * A request that is queued for a slot.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param request the slot request
 * @param enqueuedAt the monotonic time at which it was queued, in milliseconds
 */
record QueuedRequest(SlotRequest request, long enqueuedAt) {

	long targetAt() {
		return this.enqueuedAt + this.request.targetLeftMs();
	}

	long deadline() {
		return this.enqueuedAt + this.request.timeLeftMs();
	}

	boolean canMeetTarget(long now) {
		return now + this.request.workMs() * Admission.BUSY_FACTOR <= targetAt();
	}

	boolean isTooLate(long now) {
		return now + this.request.workMs() / 2 >= deadline();
	}

}
