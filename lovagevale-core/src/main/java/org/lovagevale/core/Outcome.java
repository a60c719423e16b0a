package org.lovagevale.core;

import java.util.Locale;

/**
 * What is known about the execution of a request.
 */
public enum Outcome {

	/** It ran on a backend server and was answered. */
	RAN,

	/** It did not run, and no request with its idempotency key ever will. */
	NOT_RUN,

	/** It is unknown whether it ran. */
	UNKNOWN,

	/** It is running. */
	RUNNING;

	/**
	 * Returns the value used in HTTP headers.
	 * @return the name in lower case with hyphens
	 */
	public String toHeader() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
