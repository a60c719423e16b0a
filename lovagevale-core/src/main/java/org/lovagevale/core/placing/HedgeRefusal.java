package org.lovagevale.core.placing;

/**
 * The reason why a request that is late is not hedged.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum HedgeRefusal {

	/** Another process may grant slots of the service. */
	NOT_OWNER,

	/** Requests are queued for the service. */
	QUEUED,

	/** The share of the first attempts is exhausted. */
	SHARE,

	/** The retry budget is needed for retries. */
	RETRY_BUDGET,

	/** No other server is known to be fast and has two free slots. */
	NO_SERVER

}
