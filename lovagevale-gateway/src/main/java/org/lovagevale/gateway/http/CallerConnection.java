package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The connection to a caller, as used by a single request.
 *
 * <p>
 * Confined to the event loop.
 */
interface CallerConnection {

	/**
	 * Writes the head of a response.
	 * @param response the head of the response
	 */
	void writeHead(HttpResponse response);

	/**
	 * Writes a part of the response body. It may be kept until {@link #flush()} or the
	 * end of the response.
	 * @param content the part; it is released once it is written
	 */
	void writeContent(ByteBuf content);

	/**
	 * Passes on all that was written.
	 */
	void flush();

	/**
	 * Completes the response.
	 */
	void finish();

	/**
	 * Writes a complete response that this process generates itself.
	 * @param status the HTTP status
	 * @param reason the cause, sent in the response body
	 * @param headers additional headers
	 */
	void reply(int status, String reason, HttpHeaders headers);

	/**
	 * Closes the connection because the response cannot be completed.
	 * @param reason the reason
	 */
	void abort(String reason);

	/**
	 * Tells whether more of the response can be written without queueing it.
	 * @return {@code false} if the caller reads more slowly than data is written
	 */
	boolean isWritable();

	/**
	 * Sets whether further data of the request is read.
	 * @param reading {@code true} to read, {@code false} to apply backpressure
	 */
	void setReading(boolean reading);

}
