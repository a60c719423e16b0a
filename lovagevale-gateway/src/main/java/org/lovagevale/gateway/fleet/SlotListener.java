package org.lovagevale.gateway.fleet;

import org.lovagevale.base.Region;
import org.lovagevale.core.placing.RefusalCause;

/**
 * Receives the decision on one slot request.
 *
 * <p>
 * At most one of the methods is called, once, on the event loop.
 */
public interface SlotListener {

	/**
	 * Called when a slot is granted.
	 * @param grant the slot, which the listener must release after use
	 */
	void granted(SlotGrant grant);

	/**
	 * Called when the request is refused.
	 * @param cause the cause of the refusal
	 * @param retryAfterMs the time after which a new request may succeed, in milliseconds
	 */
	void refused(RefusalCause cause, int retryAfterMs);

	/**
	 * Called when another region has free capacity for the request.
	 * @param region the region
	 */
	default void moved(Region region) {
		refused(RefusalCause.OTHER_REGION, 0);
	}

}
