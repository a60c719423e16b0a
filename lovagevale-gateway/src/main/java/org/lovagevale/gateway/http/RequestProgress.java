package org.lovagevale.gateway.http;

/**
 * How far the request in progress on a connection of a caller has come.
 */
enum RequestProgress {

	/** No request is in progress. */
	NONE,

	/** Its head was read. */
	READ,

	/** It waits for its body, for a server or for a connection. */
	WAITING,

	/** It was written to a server or another entry VM, in part at least. */
	SENT,

	/** Its response was begun. */
	RESPONDING

}
