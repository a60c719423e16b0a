package org.lovagevale.core.placing;

/**
 * The outcome of a request on the server that it was placed on.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum SlotOutcome {

	/** The server answered it. */
	SERVED,

	/** The server executed it and failed, or sent an unusable response. */
	FAILED,

	/** The server stated that it did not execute the request. */
	NOT_EXECUTED,

	/** The address now belongs to another server. */
	REPLACED,

	/** No connection could be opened. */
	UNREACHABLE,

	/** The connection was lost before a response; the request may have been executed. */
	LOST,

	/** The request was cancelled before the response. */
	ABANDONED,

	/** The slot was released without sending the request. */
	UNUSED

}
