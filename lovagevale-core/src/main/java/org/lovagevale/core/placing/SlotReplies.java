package org.lovagevale.core.placing;

import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;

/**
 * Receives the replies of a {@link SlotDispatcher}.
 *
 * <p>
 * The methods are called by the thread that calls the dispatcher.
 */
public interface SlotReplies {

	/**
	 * Called when a slot of a server is granted.
	 * @param id the slot request
	 * @param server the server
	 * @param why the figures behind the decision, for the log
	 */
	void granted(SlotId id, ServerName server, String why);

	/**
	 * Called when the request is queued for a free slot.
	 * @param id the slot request
	 */
	void queued(SlotId id);

	/**
	 * Called when the request is refused.
	 * @param id the slot request
	 * @param cause the reason
	 * @param retryAfterMs the suggested delay before a retry, in milliseconds
	 */
	void refused(SlotId id, RefusalCause cause, int retryAfterMs);

	/**
	 * Called when another region has free capacity for the request.
	 * @param id the slot request
	 * @param region the region
	 */
	default void moved(SlotId id, Region region) {
		refused(id, RefusalCause.OTHER_REGION, 0);
	}

	/**
	 * Called when a fresh load report of a server is needed to place a queued request.
	 * @param server the server
	 */
	void loadWanted(ServerName server);

	/**
	 * Called when a second slot is offered to a request whose first attempt is late. It
	 * is released like the first one, or expires with it if the offer is ignored.
	 * @param request the slot request of the first attempt
	 * @param server the second server
	 * @param why the figures behind the decision, for the log
	 */
	default void hedgeOffered(SlotRequest request, ServerName server, String why) {
	}

	/**
	 * Called when the first attempt of a request has ended that was late and was not
	 * hedged.
	 * @param request the slot request of the first attempt
	 * @param cause the last reason
	 */
	default void hedgeRefused(SlotRequest request, HedgeRefusal cause) {
	}

}
