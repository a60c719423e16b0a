package org.lovagevale.node.http;

/**
 * Thrown when the head of a request is malformed.
 *
 * <p>
 * The message is sent to the caller. Immutable and thread-safe.
 */
final class MalformedRequestException extends Exception {

	private static final long serialVersionUID = 1L;

	MalformedRequestException(String message) {
		super(message);
	}

}
