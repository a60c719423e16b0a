package org.lovagevale.core.roster;

/**
 * The phase in the life of an entry process.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum RosterPhase {

	/** The process does not serve requests yet. */
	STARTING,

	/** The process serves requests. */
	SERVING,

	/** The process completes its open requests and then exits. */
	LEAVING

}
