package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The connection to a caller as one request sees it.
 *
 * <p>
 * Confined to the event loop.
 */
interface CallerConnection {

	/**
	 * Writes the head of a response.
	 * @param response the head
	 */
	void writeHead(HttpResponse response);

	/**
	 * Writes a part of the body.
	 * @param content the part, released when written
	 */
	void writeContent(HttpContent content);

	/**
	 * Ends the response.
	 */
	void finish();

	/**
	 * Writes a whole response of this process.
	 * @param status the status
	 * @param reason a word for the cause
	 * @param headers further headers
	 */
	void reply(int status, String reason, HttpHeaders headers);

	/**
	 * Closes the connection, since the response cannot be completed.
	 * @param reason the reason
	 */
	void abort(String reason);

	/**
	 * Tells whether written parts leave soon.
	 * @return {@code false} if the caller reads more slowly than is written
	 */
	boolean isWritable();

	/**
	 * Sets whether more of the request is read.
	 * @param reading {@code true} to read
	 */
	void setReading(boolean reading);

}
