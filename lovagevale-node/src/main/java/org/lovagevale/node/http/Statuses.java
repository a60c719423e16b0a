package org.lovagevale.node.http;

import io.netty.handler.codec.http.HttpMethod;

/**
 * Rules about HTTP status codes.
 *
 * <p>
 * Thread-safe.
 */
final class Statuses {

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private Statuses() {
	}

	/**
	 * Returns whether a response has no body, regardless of its headers.
	 * @param method the method of the request
	 * @param status the status of the response
	 * @return {@code true} if no body follows the head
	 */
	static boolean isBodyless(HttpMethod method, int status) {
		return method.equals(HttpMethod.HEAD) || status == NO_CONTENT || status == NOT_MODIFIED;
	}

}
