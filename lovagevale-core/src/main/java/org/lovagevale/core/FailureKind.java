package org.lovagevale.core;

/**
 * How an attempt on a backend server failed.
 */
public enum FailureKind {

	/** The connection could not be opened, so nothing was written. */
	NOT_CONNECTED,

	/**
	 * The connection was lost after the request was written and before the head of the
	 * response arrived.
	 */
	LOST_BEFORE_HEAD,

	/** The connection was lost while the body of the response was received. */
	LOST_IN_BODY,

	/** The attempt did not complete within its timeout. */
	TIMED_OUT

}
