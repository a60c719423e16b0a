package org.lovagevale.peer;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a peer message cannot be decoded or encoded, a link cannot be opened or its
 * peer is not accepted, or the peer port cannot be opened.
 *
 * <p>
 * Thread-safe.
 */
public final class PeerException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message a description of the failure and its reason
	 * @param cause the cause, or {@code null} if there is none
	 */
	public PeerException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
