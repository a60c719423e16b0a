package org.lovagevale.gateway.http;

/**
 * The reason for which a connection of a caller was closed.
 */
enum CallerCloseReason {

	/** The last response was written. */
	LAST_RESPONSE,

	/** A response was written before the body of its request had arrived. */
	EARLY_RESPONSE,

	/** No request was in progress for some time. */
	IDLE,

	/** A response was begun and could not be completed. */
	RESPONSE_ABORTED,

	/** Nothing of a response was taken for some time. */
	NOT_READ,

	/** A part of a response could not be queued for writing. */
	WRITE_FAILED,

	/** An internal error. */
	ERROR,

	/** The connection failed, as by a reset of the caller. */
	CONNECTION_FAILED,

	/** The event loop ended. */
	PROCESS_ENDED,

	/** The caller closed the connection. */
	CALLER

}
