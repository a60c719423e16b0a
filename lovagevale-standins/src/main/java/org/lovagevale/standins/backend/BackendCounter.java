package org.lovagevale.standins.backend;

/**
 * What a backend server stand-in counts.
 */
public enum BackendCounter {

	/** Requests that arrived, without health reads. */
	REQUESTS,

	/** Requests that began to run. */
	RUNS,

	/** Requests that ran and were answered completely. */
	ANSWERS,

	/** Requests rejected because the queue was full. */
	SHED,

	/** Requests rejected because their deadline had passed. */
	EXPIRED,

	/** Requests that arrived while the server was draining. */
	DRAIN_ARRIVALS,

	/** Requests answered with 500 at once. */
	FAILED_FAST,

	/** Requests whose connection was closed while they waited. */
	CANCELLED_QUEUED,

	/** Requests whose connection was closed while they ran. */
	CANCELLED_RUNNING,

	/** Requests that arrived in a cold start beyond what the server bears. */
	COLD_VIOLATIONS,

	/** Reads of the health endpoint. */
	HEALTH_READS,

	/** Crashes, by request or by command. */
	CRASHES,

	/** Connections accepted. */
	CONNECTIONS,

	/** Connections closed because there were too many. */
	CONNECTIONS_REFUSED

}
