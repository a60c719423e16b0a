package org.lovagevale.core.placing;

/**
 * The reason for sending a request to a server.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum SendPurpose {

	/** The request has not been sent before. */
	FIRST,

	/** Earlier attempts brought no usable response. */
	RETRY,

	/** The first attempt is in progress at another server. */
	HEDGE

}
