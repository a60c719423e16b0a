package org.lovagevale.core.placing;

/**
 * Where a process learned a change of a crash suspect.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum SuspectSource {

	/** From a request that this process placed. */
	LOCAL,

	/** From an entry VM of the same region. */
	REGION,

	/** From an entry VM of another region. */
	OTHER_REGION

}
