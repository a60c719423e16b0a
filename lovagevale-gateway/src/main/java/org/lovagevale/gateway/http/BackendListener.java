package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Takes what happens to one request at a backend server.
 *
 * <p>
 * Called on the event loop. After {@link #failed} or {@link #ended} nothing follows.
 */
interface BackendListener {

	/**
	 * A connection is ready to be written to.
	 * @param connection the connection
	 */
	void connected(BackendConnection connection);

	/**
	 * No connection could be opened; nothing was sent.
	 * @param cause the error
	 */
	void unreachable(Throwable cause);

	/**
	 * The head of the response arrived.
	 * @param response the head
	 */
	void headReceived(HttpResponse response);

	/**
	 * A part of the body arrived.
	 * @param content the part; the listener releases it
	 */
	void contentReceived(HttpContent content);

	/**
	 * The response is complete.
	 */
	void ended();

	/**
	 * Everything that arrived so far was handed over.
	 */
	void readComplete();

	/**
	 * The connection was lost or carried something else than a response.
	 * @param reason the reason
	 */
	void failed(String reason);

	/**
	 * The connection can be written to again.
	 */
	void writable();

}
