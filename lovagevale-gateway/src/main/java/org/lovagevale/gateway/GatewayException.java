package org.lovagevale.gateway;

import org.jspecify.annotations.Nullable;

/**
 * An entry process cannot start or go on.
 *
 * <p>
 * Immutable and thread-safe.
 */
public class GatewayException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed, with its figures
	 * @param cause the cause, or {@code null}
	 */
	public GatewayException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
