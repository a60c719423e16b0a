package org.lovagevale.core.limit;

/**
 * How a request was decided.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum LimitOutcome {

	/** Admitted with a token of the limiter. */
	ADMITTED,

	/** Refused since the limiter had no token. */
	REFUSED,

	/** Admitted without the limiter. */
	ADMITTED_LOCALLY,

	/** Refused without the limiter. */
	REFUSED_LOCALLY

}
