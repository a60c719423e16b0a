package org.lovagevale.core.placing;

/**
 * Why no server is given to a request.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum RefusalCause {

	/** The requests ahead take longer than this one can wait. */
	OVERLOAD,

	/** No server of the service may be used. */
	NO_SERVER,

	/** The budget for sending requests once more is used up. */
	EXTRA_BUDGET,

	/** Servers were lost each time this request was sent. */
	QUARANTINED,

	/** It waited until too little time was left. */
	TOO_LATE

}
