package org.lovagevale.gateway.fleet;

import org.lovagevale.core.placing.RefusalCause;

/**
 * Receives the decision on one request for a slot.
 *
 * <p>
 * At most one method is called, at most once, on the event loop.
 */
public interface SlotListener {

	/**
	 * Called when a slot is granted.
	 * @param grant the slot; the receiver must release it
	 */
	void granted(SlotGrant grant);

	/**
	 * Called when no slot is granted.
	 * @param cause the cause of the refusal
	 * @param retryAfterMs the time after which a new request may succeed, in milliseconds
	 */
	void refused(RefusalCause cause, int retryAfterMs);

}
