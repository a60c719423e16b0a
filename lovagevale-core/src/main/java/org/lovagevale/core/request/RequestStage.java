package org.lovagevale.core.request;

/**
 * A stage in the processing of a request.
 */
enum RequestStage {

	/** The first bytes of the body are being read. */
	READING,

	/** The owner of the idempotency key is being queried. */
	WAITING_FOR_OUTCOME,

	/** Peers are being notified that the request will run as a trial. */
	WAITING_FOR_TRIAL,

	/**
	 * The request is suspect, and another request with the same fingerprint runs as a
	 * trial.
	 */
	WAITING_FOR_OTHER_TRIAL,

	/** The request is queued for a backend server. */
	QUEUED,

	/** At least one attempt is running and none has been answered. */
	RUNNING,

	/** Peers are being notified that the request may have crashed a backend server. */
	WAITING_FOR_NOTICE,

	/** The answer of an attempt is being forwarded to the caller. */
	ANSWERING,

	/** The request has been answered or the caller has disconnected. */
	ENDED

}
