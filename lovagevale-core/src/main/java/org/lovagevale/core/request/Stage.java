package org.lovagevale.core.request;

/**
 * How far a request has come.
 */
enum Stage {

	/** The first bytes of its body are read. */
	READING,

	/** The owner of its idempotency key is asked. */
	WAITING_FOR_OUTCOME,

	/** Peers are told that it runs as a trial. */
	WAITING_FOR_TRIAL,

	/** It is suspect, and another request with its fingerprint runs as a trial. */
	WAITING_FOR_OTHER_TRIAL,

	/** It waits for a backend server. */
	QUEUED,

	/** At least one attempt is running and none is answered. */
	RUNNING,

	/** Peers are told that it crashed a backend server. */
	WAITING_FOR_NOTICE,

	/** The answer of an attempt is passed on. */
	ANSWERING,

	/** The caller has its answer or is gone. */
	ENDED

}
