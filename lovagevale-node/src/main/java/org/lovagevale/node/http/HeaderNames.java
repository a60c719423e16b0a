package org.lovagevale.node.http;

/**
 * Names of the headers that entry processes, callers and backend servers exchange.
 *
 * <p>
 * Thread-safe.
 */
public final class HeaderNames {

	/** Start of every name, in lower case. */
	static final String PREFIX = "lovagevale-";

	/** The client account, from callers. */
	public static final String ACCOUNT = "Lovagevale-Account";

	/** The time that a caller waits in milliseconds. */
	public static final String TIMEOUT_MS = "Lovagevale-Timeout-Ms";

	/** The idempotency key. */
	public static final String KEY = "Idempotency-Key";

	/** Marks a call that is itself a retry. */
	public static final String RETRIED = "Lovagevale-Retried";

	/** The request identifier. */
	public static final String REQUEST_ID = "Lovagevale-Request-Id";

	/** The entry VM. */
	public static final String VM = "Lovagevale-Vm";

	/** What is known about execution. */
	public static final String OUTCOME = "Lovagevale-Outcome";

	/** The reason code of an answer made by the entry process. */
	public static final String REASON = "Lovagevale-Reason";

	/** Wall time after which a server must not start a request. */
	public static final String DEADLINE = "Lovagevale-Deadline";

	/** The attempt, counted from 1. */
	public static final String ATTEMPT = "Lovagevale-Attempt";

	/** The load of a backend server. */
	public static final String LOAD = "Lovagevale-Load";

	/** Says that a backend server did not run a request. */
	public static final String NOT_RUN = "Lovagevale-Not-Run";

	private HeaderNames() {
	}

}
