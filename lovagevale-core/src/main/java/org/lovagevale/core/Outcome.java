package org.lovagevale.core;

import java.util.Locale;

/**
 * What is known about the execution of a request.
 */
public enum Outcome {

	/** It ran on a backend server and was answered. */
	RAN,

	/** It did not run, and with its idempotency key never will. */
	NOT_RUN,

	/** It may or may not have run. */
	UNKNOWN,

	/** It is running. */
	RUNNING;

	/**
	 * Returns the form used in headers.
	 * @return the name in lower case with hyphens
	 */
	public String toHeader() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
