package org.lovagevale.standins.backend;

/**
 * Events that a backend server stand-in counts.
 */
public enum BackendCounter {

	/** Requests received, except health checks. */
	REQUESTS,

	/** Requests that started to run. */
	RUNS,

	/** Requests that ran and whose response was sent completely. */
	ANSWERS,

	/** Requests rejected because the queue was full. */
	SHED,

	/** Requests rejected because their deadline had passed. */
	EXPIRED,

	/** Requests that arrived while the server was draining. */
	DRAIN_ARRIVALS,

	/** Requests answered with status 500 without running. */
	FAILED_FAST,

	/** Requests whose connection was closed while they waited for a slot. */
	CANCELLED_QUEUED,

	/** Requests whose connection was closed while they ran. */
	CANCELLED_RUNNING,

	/** Requests that exceeded the concurrency limit of a cold server. */
	COLD_VIOLATIONS,

	/** Requests to the health endpoint. */
	HEALTH_READS,

	/** Crashes, caused by a request or by a control command. */
	CRASHES,

	/** Connections accepted. */
	CONNECTIONS,

	/** Connections closed because the connection limit was reached. */
	CONNECTIONS_REFUSED

}
