package org.lovagevale.gateway.http;

import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Tells by the head of a request whether it may run beside others on its connection.
 *
 * <p>
 * Thread-safe.
 */
final class PipelinedHead {

	/** RFC 9112, section 9.3.2, allows concurrent handling of these methods only. */
	private static final Set<HttpMethod> SAFE_METHODS = Set.of(HttpMethod.GET, HttpMethod.HEAD, HttpMethod.OPTIONS);

	private PipelinedHead() {
	}

	/**
	 * Tells whether the request has a safe method and no body, and whether it leaves the
	 * connection as it is.
	 * @param head the head
	 * @return {@code false} if the request has to be the only one on its connection
	 */
	static boolean isConcurrent(HttpRequest head) {
		return head.decoderResult().isSuccess() && head.protocolVersion().equals(HttpVersion.HTTP_1_1)
				&& SAFE_METHODS.contains(head.method()) && HttpUtil.isKeepAlive(head) && !hasBody(head.headers())
				&& !head.headers().contains(HttpHeaderNames.UPGRADE)
				&& !head.headers().contains(HttpHeaderNames.EXPECT);
	}

	private static boolean hasBody(HttpHeaders headers) {
		String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
		return headers.contains(HttpHeaderNames.TRANSFER_ENCODING) || length != null && !length.trim().equals("0");
	}

}
