package org.lovagevale.core.placing;

/**
 * Why a request is to be sent to a server.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum SendPurpose {

	/** It was not sent before. */
	FIRST,

	/** No server that it was sent to gave a usable response. */
	RETRY

}
