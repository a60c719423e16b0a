package org.lovagevale.core;

import java.util.Locale;

/**
 * Why an entry process answers a request itself, with the HTTP status of that answer.
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

	/** The idempotency key has a wrong form. */
	KEY_MALFORMED(400),

	/** The idempotency key belongs to another VM or incarnation. */
	KEY_OF_OTHER_VM(421),

	/** The owner of the idempotency key cannot be asked. */
	KEY_OWNER_UNREACHABLE(503),

	/** The idempotency key was used for a different request. */
	KEY_REUSED(422),

	/** The request with this idempotency key is running. */
	KEY_RUNNING(409),

	/** The request with this idempotency key already ended. */
	KEY_ENDED(409),

	/** The idempotency key is too old to be remembered. */
	KEY_EXPIRED(409),

	/** No further idempotency key can be remembered. */
	KEYS_FULL(503),

	/** The request crashed backend servers. */
	QUARANTINED(422),

	/** The request is on trial after a crash. */
	ON_TRIAL(503),

	/** The body is larger than allowed. */
	BODY_TOO_LARGE(413),

	/** The client account is over its rate. */
	ACCOUNT_OVER_RATE(429),

	/** Too much work for the backend servers. */
	OVERLOADED(503),

	/** No backend server may take the request. */
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
	 * Returns the form used in headers and logs.
	 * @return the name in lower case with hyphens
	 */
	public String toHeader() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
