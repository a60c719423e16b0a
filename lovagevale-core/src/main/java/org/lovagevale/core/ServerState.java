package org.lovagevale.core;

/**
 * The state of a backend server as known to a process.
 */
public enum ServerState {

	/** The state is not known; the server is treated like {@link #COLD}. */
	UNKNOWN,

	/** The server is in a cold start. */
	COLD,

	/** The server can use all of its slots. */
	WARM,

	/** The server completes running requests and accepts no new ones. */
	DRAINING

}
