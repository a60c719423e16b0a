package org.lovagevale.core;

/**
 * How an attempt on a backend server failed.
 */
public enum FailureKind {

	/** The connection could not be opened; nothing was written. */
	NOT_CONNECTED,

	/**
	 * The connection broke after the request was written, before the head of the answer.
	 */
	LOST_BEFORE_HEAD,

	/** The connection broke within the body of the answer. */
	LOST_IN_BODY,

	/** The deadline passed. */
	TIMED_OUT

}
