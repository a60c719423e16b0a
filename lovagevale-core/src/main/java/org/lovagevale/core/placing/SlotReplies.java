package org.lovagevale.core.placing;

import org.lovagevale.base.ServerName;

/**
 * Takes the answers of a {@link SlotDispatcher}.
 *
 * <p>
 * Called by the thread that calls the dispatcher.
 */
public interface SlotReplies {

	/**
	 * A server was found.
	 * @param id the question
	 * @param server the server
	 * @param why the figures that decided, for the log
	 */
	void granted(SlotId id, ServerName server, String why);

	/**
	 * The request waits for a free slot.
	 * @param id the question
	 */
	void queued(SlotId id);

	/**
	 * No server is given to the request.
	 * @param id the question
	 * @param cause the reason
	 * @param retryAfterMs when it is worth coming back, in milliseconds
	 */
	void refused(SlotId id, RefusalCause cause, int retryAfterMs);

	/**
	 * The load of a server is needed to place a request that waits.
	 * @param server the server
	 */
	void loadWanted(ServerName server);

}
