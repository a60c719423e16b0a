package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the events of one request to a backend server.
 *
 * <p>
 * Called on the event loop. No event follows {@link #failed} or {@link #ended}.
 */
interface BackendListener {

	/**
	 * Called when a connection is ready for the request.
	 * @param connection the connection
	 */
	void connected(BackendConnection connection);

	/**
	 * Called when no connection could be opened; nothing was sent.
	 * @param cause the error
	 */
	void unreachable(Throwable cause);

	/**
	 * Called when the head of the response has been received.
	 * @param response the head of the response
	 */
	void headReceived(HttpResponse response);

	/**
	 * Called when a part of the response body has been received.
	 * @param content the part; the listener must release it
	 */
	void contentReceived(HttpContent content);

	/**
	 * Called when the response is complete.
	 */
	void ended();

	/**
	 * Called when all data received so far has been passed on.
	 */
	void readComplete();

	/**
	 * Called when the connection was lost or received data that is not a valid response.
	 * @param reason the reason
	 */
	void failed(String reason);

	/**
	 * Called when the connection has become writable again.
	 */
	void writable();

}
