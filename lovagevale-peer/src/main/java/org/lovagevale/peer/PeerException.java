package org.lovagevale.peer;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a peer message cannot be read or written, or the peer port cannot be
 * opened.
 *
 * <p>
 * Thread-safe.
 */
public final class PeerException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed and why
	 * @param cause the error from the layer below, or {@code null}
	 */
	public PeerException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
