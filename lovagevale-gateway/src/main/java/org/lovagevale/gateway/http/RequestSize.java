package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.HttpHeaderNames;
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
		return new RequestSize(HeldSize.ofHead(head), bodyBytes);
	}

}
