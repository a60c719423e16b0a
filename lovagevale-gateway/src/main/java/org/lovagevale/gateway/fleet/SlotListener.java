package org.lovagevale.gateway.fleet;

import org.lovagevale.base.Region;
import org.lovagevale.core.placing.RefusalCause;

/**
 * Receives the decision on one slot request.
 *
 * <p>
 * Either {@link #granted} or {@link #refused} is called, at most once;
 * {@link #hedgeOffered} may follow a grant. All are called on the event loop.
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
	 * Called when a second slot is offered for the request, which still uses the first
	 * one.
	 * @param grant the second slot
	 * @return {@code true} if the listener uses the slot and will release it
	 */
	default boolean hedgeOffered(SlotGrant grant) {
		return false;
	}

	/**
	 * Called when another region has free capacity for the request.
	 * @param region the region
	 */
	default void moved(Region region) {
		refused(RefusalCause.OTHER_REGION, 0);
	}

}
