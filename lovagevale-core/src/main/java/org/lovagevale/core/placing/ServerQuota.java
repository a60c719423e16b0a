package org.lovagevale.core.placing;

import org.lovagevale.core.catalog.BackendInstance;

/**
 * Limits the number of requests that this process places on a server at a time.
 */
@FunctionalInterface
public interface ServerQuota {

	/** Leaves the limit to the slots of the server. */
	ServerQuota UNLIMITED = (server, slots) -> slots;

	/**
	 * Returns the maximum number of requests on a server.
	 * @param server the server
	 * @param slots the number of slots that it has
	 * @return the number; 0 if this process must not use the server
	 */
	int maxRequests(BackendInstance server, int slots);

}
