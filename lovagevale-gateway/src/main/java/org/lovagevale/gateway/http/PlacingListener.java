package org.lovagevale.gateway.http;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.gateway.fleet.SlotGrant;

/**
 * Receives the results of the placing phase of an exchange.
 *
 * <p>
 * Called on the event loop.
 */
interface PlacingListener {

	/**
	 * Tells whether the exchange is done and needs no server.
	 * @return {@code true} if it is done
	 */
	boolean isDone();

	/**
	 * Tells whether an attempt is in progress.
	 * @return {@code true} if the request has a server or an entry VM
	 */
	boolean hasAttempt();

	/**
	 * Called when the request has a server or an entry VM to be sent to.
	 * @param grant the slot, which the listener must release, or {@code null} if the
	 * request is relayed to an entry VM
	 * @param server the server or the entry VM
	 */
	void placed(@Nullable SlotGrant grant, BackendInstance server);

	/**
	 * Called when a granted server cannot be used; its slot is released.
	 * @param reason the reason
	 */
	void serverUnusable(String reason);

	/**
	 * Called when there is no server for the request.
	 * @param reason the reason
	 * @param retryAfterMs the time after which the caller may retry, in milliseconds
	 */
	void notPlaced(String reason, int retryAfterMs);

	/**
	 * Called when the request could not be completed before a planned stop of this
	 * process ends.
	 */
	void stopping();

}
