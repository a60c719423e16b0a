package org.lovagevale.node.http;

/**
 * Thrown when a port for HTTP cannot be opened.
 */
public final class HttpServerException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed
	 * @param cause why
	 */
	public HttpServerException(String message, Throwable cause) {
		super(message, cause);
	}

}
