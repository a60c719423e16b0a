package org.lovagevale.node.http;

/**
 * Thrown when an HTTP port cannot be opened.
 */
public final class HttpServerException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message the detail message
	 * @param cause the cause
	 */
	public HttpServerException(String message, Throwable cause) {
		super(message, cause);
	}

}
