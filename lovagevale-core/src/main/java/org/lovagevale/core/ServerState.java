package org.lovagevale.core;

/**
 * The state of a backend server as far as a process knows it.
 */
public enum ServerState {

	/** Not known; handled like {@link #COLD}. */
	UNKNOWN,

	/** In a cold start. */
	COLD,

	/** Able to run its full number of slots. */
	WARM,

	/** Finishing what runs; takes no new work. */
	DRAINING

}
