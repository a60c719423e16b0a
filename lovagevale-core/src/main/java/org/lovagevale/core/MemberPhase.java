package org.lovagevale.core;

/**
 * The phase of an entry process.
 */
public enum MemberPhase {

	/** Not yet serving. */
	STARTING,

	/** Serving. */
	LIVE,

	/** Serving until callers have moved, then stopping. */
	LEAVING

}
