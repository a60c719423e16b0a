package org.lovagevale.node.http;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decodes the responses of one connection to a backend server.
 *
 * <p>
 * Invariant: each request has one response, and no byte that arrives before a request was
 * sent is a part of its response. A connection that receives any other bytes is closed,
 * since responses do not identify their request. Not thread-safe.
 */
final class SingleResponseDecoder extends HttpResponseDecoder {

	private static final Logger LOGGER = LoggerFactory.getLogger(SingleResponseDecoder.class);

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}( |$)");

	/** There are no other codes, and callers may not accept them. */
	private static final Pattern STATUS_CODE = Pattern.compile("[1-5]\\d\\d");

	private @Nullable HttpMethod pendingMethod;

	private boolean interim;

	// Reactor Netty takes every interim response but 100 for the final one.
	private boolean dropping;

	private boolean reused;

	SingleResponseDecoder(int maxHeadBytes) {
		super(new HttpDecoderConfig().setMaxHeaderSize(maxHeadBytes).setAllowDuplicateContentLengths(false));
	}

	/**
	 * Starts to accept the response to a request.
	 * @param method the method of the request
	 */
	void expectResponse(HttpMethod method) {
		this.pendingMethod = method;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		if (this.pendingMethod == null) {
			closeOnSurplusBytes(context, in);
			return;
		}
		int index = out.size();
		super.decode(context, in, out);
		while (index < out.size()) {
			Object decoded = out.get(index);
			if (decoded instanceof HttpResponse response) {
				this.interim = isInterim(response);
				this.dropping = this.interim && !response.status().equals(HttpResponseStatus.CONTINUE);
			}
			if (this.dropping) {
				ReferenceCountUtil.release(out.remove(index));
				continue;
			}
			if (decoded instanceof LastHttpContent && !this.interim) {
				endResponse(context, in, out);
			}
			index++;
		}
	}

	private void endResponse(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
		this.pendingMethod = null;
		if (in.isReadable()) {
			if (this.reused) {
				// The response may consist of bytes that belong to an earlier one, so it
				// must not look complete.
				ReferenceCountUtil.release(out.removeLast());
			}
			closeOnSurplusBytes(context, in);
		}
		this.reused = true;
	}

	// The connection must be closed before the end of the response returns it to the
	// pool.
	private static void closeOnSurplusBytes(ChannelHandlerContext context, ByteBuf in) {
		if (context.channel().isActive()) {
			LOGGER.warn("event=backend.connection-closed remote={} surplusBytes={}", context.channel().remoteAddress(),
					in.readableBytes());
			context.close();
		}
		in.skipBytes(in.readableBytes());
	}

	private static boolean isInterim(HttpResponse response) {
		return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
	}

	// A head that contains a second status line is composed of two responses.
	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		String version = initialLine[0];
		boolean isKnown = version.equals("HTTP/1.1") || version.equals("HTTP/1.0");
		if (!isKnown || !STATUS_CODE.matcher(initialLine[1]).matches() || containsStatusLine(initialLine[2])) {
			throw new IllegalArgumentException("malformed status line");
		}
		if (initialLine[1].equals("101")) {
			throw new IllegalArgumentException("change of protocols that was not requested");
		}
		return super.createMessage(initialLine);
	}

	private static boolean containsStatusLine(String text) {
		return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		for (Map.Entry<String, String> header : message.headers()) {
			if (containsStatusLine(header.getValue())) {
				throw new IllegalArgumentException("status line in header " + header.getKey());
			}
		}
		return HttpMethod.HEAD.equals(this.pendingMethod) || super.isContentAlwaysEmpty(message);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
	}

}
