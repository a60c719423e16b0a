package org.lovagevale.core;

import java.util.Locale;

/**
 * The reason why an entry process refuses a request, with the HTTP status of the
 * response.
 */
public enum RefusalReason {

	/** No service matches the path. */
	NO_SUCH_SERVICE(404),

	/** The client account is not in the settings. */
	NO_SUCH_ACCOUNT(403),

	/** This VM is outside the home regions of the request. */
	OUTSIDE_HOME_REGIONS(421),

	/** An idempotency key is required. */
	KEY_REQUIRED(400),

	/** The idempotency key is malformed. */
	KEY_MALFORMED(400),

	/** The idempotency key belongs to another VM or incarnation. */
	KEY_OF_OTHER_VM(421),

	/** The process that owns the idempotency key cannot be reached. */
	KEY_OWNER_UNREACHABLE(503),

	/** The idempotency key was used for a different request. */
	KEY_REUSED(422),

	/** The request with this idempotency key is running. */
	KEY_RUNNING(409),

	/** The request with this idempotency key already ended. */
	KEY_ENDED(409),

	/** The idempotency key has expired. */
	KEY_EXPIRED(409),

	/** No more idempotency keys can be stored. */
	KEYS_FULL(503),

	/** The request is quarantined because it crashed backend servers. */
	QUARANTINED(422),

	/** The same request is on trial after it may have crashed a backend server. */
	ON_TRIAL(503),

	/** The request body is larger than allowed. */
	BODY_TOO_LARGE(413),

	/** The client account exceeds its request rate. */
	ACCOUNT_OVER_RATE(429),

	/** The backend servers are overloaded. */
	OVERLOADED(503),

	/** No backend server can take the request. */
	NO_SERVER(503),

	/** The deadline passed. */
	DEADLINE_EXCEEDED(504),

	/** The backend server failed. */
	SERVER_FAILED(502),

	/** This process may hold outdated settings. */
	FENCED(503),

	/** This process is not yet serving. */
	STARTING(503),

	/** This process is stopping. */
	STOPPING(503);

	private final int status;

	RefusalReason(int status) {
		this.status = status;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the value used in HTTP headers and logs.
	 * @return the name in lower case with hyphens
	 */
	public String toHeader() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
