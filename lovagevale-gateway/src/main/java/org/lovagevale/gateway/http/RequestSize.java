package org.lovagevale.gateway.http;

import java.util.Map;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * The bytes for which a request has to be accounted when its head has arrived.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param headBytes the size of its head, in bytes
 * @param bodyBytes the part of its body that will be held, in bytes
 */
record RequestSize(long headBytes, long bodyBytes) {

	/**
	 * Bytes for which a header is accounted in addition to its characters. Its objects
	 * take about twice as many, as {@link org.lovagevale.gateway.MemoryLimits} assumes.
	 */
	private static final int HEADER_OVERHEAD_BYTES = 80;

	/**
	 * Returns the size of a request.
	 * @param head the head of the request
	 * @return its size; if the length of the body is not known, the size up to which it
	 * is read before the request is placed
	 */
	static RequestSize of(HttpRequest head) {
		long bodyBytes = 0;
		if (HttpUtil.isTransferEncodingChunked(head)) {
			bodyBytes = RequestContent.BUFFERED_BEFORE_SLOT_BYTES;
		}
		else if (head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			bodyBytes = Math.min(HttpUtil.getContentLength(head), RequestContent.MAX_REPLAYABLE_BYTES);
		}
		return new RequestSize(headBytes(head), bodyBytes);
	}

	/**
	 * Returns the size of a decoded part of a request.
	 * @param part the head or a part of the body
	 * @return the size in bytes
	 */
	static long bytesOf(HttpObject part) {
		long bytes = (part instanceof HttpRequest head) ? headBytes(head) : 0;
		return bytes + ((part instanceof HttpContent content) ? content.content().readableBytes() : 0);
	}

	/**
	 * Returns the size of a head that has arrived in part.
	 * @param bytes the number of received bytes
	 * @param lines the number of complete lines among them
	 * @return the size in bytes
	 */
	static long ofPartialHead(int bytes, int lines) {
		return bytes + (long) lines * HEADER_OVERHEAD_BYTES;
	}

	private static long headBytes(HttpRequest head) {
		long bytes = head.uri().length();
		for (Map.Entry<String, String> header : head.headers()) {
			bytes += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
		}
		return bytes;
	}

}
