package org.lovagevale.core.placing;

/**
 * A request that waits for a slot.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param request the request
 * @param since the monotonic time at which it began to wait, in milliseconds
 */
record WaitingSlot(SlotRequest request, long since) {

	long targetAt() {
		return this.since + this.request.targetLeftMs();
	}

	long deadline() {
		return this.since + this.request.timeLeftMs();
	}

	boolean canMeetTarget(long now) {
		return now + this.request.workMs() * Admission.BUSY_FACTOR <= targetAt();
	}

	boolean isHopeless(long now) {
		return now + this.request.workMs() / 2 >= deadline();
	}

}
