package org.lovagevale.core.placing;

/**
 * The reason why a request gets no server.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum RefusalCause {

	/** The expected wait is longer than the request can wait. */
	OVERLOAD,

	/** There is no server of the service that the request may use. */
	NO_SERVER,

	/** The budget for extra sends is exhausted. */
	EXTRA_BUDGET,

	/**
	 * The request is in quarantine, since connections were lost each time it was sent.
	 */
	QUARANTINED,

	/** The request was queued until too little time was left to serve it. */
	TOO_LATE,

	/**
	 * Another region, which is told with the refusal, has free capacity for the request.
	 */
	OTHER_REGION

}
