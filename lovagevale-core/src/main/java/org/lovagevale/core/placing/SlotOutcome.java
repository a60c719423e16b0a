package org.lovagevale.core.placing;

/**
 * What became of a request at the server that it was placed on.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum SlotOutcome {

	/** The server answered it. */
	SERVED,

	/** The server ran it and failed, or sent a response that cannot be used. */
	FAILED,

	/** The server stated that it did not run it. */
	NOT_EXECUTED,

	/** The address belongs to another server now. */
	REPLACED,

	/** No connection could be opened. */
	UNREACHABLE,

	/** The connection was lost before a response, so it may have run. */
	LOST,

	/** It was given up before the response. */
	ABANDONED,

	/** It was never sent. */
	UNUSED

}
