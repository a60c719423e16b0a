package org.lovagevale.gateway.fleet;

import org.lovagevale.core.placing.RefusalCause;

/**
 * Takes the decision on one request for a slot.
 *
 * <p>
 * Called once, on the event loop.
 */
public interface SlotListener {

	/**
	 * A slot was given.
	 * @param grant the slot; it must be given back
	 */
	void granted(SlotGrant grant);

	/**
	 * No slot is given.
	 * @param cause the reason
	 * @param retryAfterMs when it is worth coming back, in milliseconds
	 */
	void refused(RefusalCause cause, int retryAfterMs);

}
