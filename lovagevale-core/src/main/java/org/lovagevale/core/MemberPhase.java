package org.lovagevale.core;

/**
 * The phase of an entry process.
 */
public enum MemberPhase {

	/** Not yet serving requests. */
	STARTING,

	/** Serving requests. */
	LIVE,

	/** Still serving until its callers have moved to other processes, then stopping. */
	LEAVING

}
