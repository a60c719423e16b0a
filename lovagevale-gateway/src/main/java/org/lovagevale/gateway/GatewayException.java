package org.lovagevale.gateway;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when an entry process cannot start.
 *
 * <p>
 * Immutable and thread-safe.
 */
public class GatewayException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message a description of the failure, with the values involved
	 * @param cause the cause, or {@code null} if there is none
	 */
	public GatewayException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
