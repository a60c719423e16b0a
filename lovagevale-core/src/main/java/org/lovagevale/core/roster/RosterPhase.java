package org.lovagevale.core.roster;

/**
 * What an entry process does at present.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum RosterPhase {

	/** It does not serve yet. */
	STARTING,

	/** It serves. */
	SERVING,

	/** It completes what it has and ends. */
	LEAVING

}
