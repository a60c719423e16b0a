package org.lovagevale.node.http;

/**
 * Names of the headers that entry processes, callers and backend servers exchange.
 *
 * <p>
 * Thread-safe.
 */
public final class HeaderNames {

	/** Prefix of the names of this system's own headers, in lower case. */
	static final String PREFIX = "lovagevale-";

	/** The client account; sent by callers. */
	public static final String ACCOUNT = "Lovagevale-Account";

	/** The timeout of the caller in milliseconds. */
	public static final String TIMEOUT_MS = "Lovagevale-Timeout-Ms";

	/** The idempotency key. */
	public static final String KEY = "Idempotency-Key";

	/** Marks a request that is itself a retry. */
	public static final String RETRIED = "Lovagevale-Retried";

	/** The request identifier. */
	public static final String REQUEST_ID = "Lovagevale-Request-Id";

	/** The name of the entry VM. */
	public static final String VM = "Lovagevale-Vm";

	/** The outcome: what is known about whether the request ran. */
	public static final String OUTCOME = "Lovagevale-Outcome";

	/** The reason code of a response that the entry process generated. */
	public static final String REASON = "Lovagevale-Reason";

	/**
	 * The deadline after which a server must not start the request, in milliseconds since
	 * the epoch.
	 */
	public static final String DEADLINE = "Lovagevale-Deadline";

	/** The number of the attempt, counted from 1. */
	public static final String ATTEMPT = "Lovagevale-Attempt";

	/** The load report of a backend server. */
	public static final String LOAD = "Lovagevale-Load";

	/** States that a backend server did not run the request. */
	public static final String NOT_RUN = "Lovagevale-Not-Run";

	private HeaderNames() {
	}

}
