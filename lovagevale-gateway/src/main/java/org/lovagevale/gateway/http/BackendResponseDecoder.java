package org.lovagevale.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;

/**
 * Decodes the responses of backend servers and rejects those with ambiguous framing,
 * those with a status code that does not exist and those whose head begins with a part of
 * another one.
 *
 * <p>
 * Invariant: a head that has arrived in part is kept as bytes. Not thread-safe.
 */
final class BackendResponseDecoder extends HttpResponseDecoder implements PartDecoder {

	private static final int MAX_HEAD_BYTES = 65_536;

	/** Maximum number of header lines of a response. */
	private static final int MAX_HEAD_LINES = 512;

	private static final int MAX_CHUNK_BYTES = 32_768;

	/** Size of a head from which this decoder is not to be used again, in bytes. */
	private static final int LARGE_HEAD_BYTES = 8_192;

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01]\\s+[1-5][0-9]{2}",
			Pattern.CASE_INSENSITIVE);

	/** The status codes that exist (RFC 9110, section 15). */
	private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

	private static final byte[] FIRST_BYTES = "HTTP/".getBytes(StandardCharsets.US_ASCII);

	private final MessagePartReader parts;

	private boolean responseToHead;

	private boolean largeHead;

	/**
	 * Creates a decoder for a new connection.
	 * @param isDecodable tells whether decoded parts of responses can be handled now
	 */
	BackendResponseDecoder(BooleanSupplier isDecodable) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_HEAD_BYTES)
			.setMaxHeaderSize(MAX_HEAD_BYTES)
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setAllowDuplicateContentLengths(false));
		this.parts = new MessagePartReader(new Parts(), isDecodable, MAX_HEAD_BYTES, MAX_HEAD_LINES, TurnLimits.NONE);
	}

	@Override
	public MessagePartReader parts() {
		return this.parts;
	}

	@Override
	public int heldBytes() {
		return (actualReadableBytes() > 0) ? internalBuffer().capacity() : 0;
	}

	@Override
	public int partialHeadBytes() {
		return this.parts.partialHeadBytes() + actualReadableBytes();
	}

	@Override
	public void decodeHeld(ChannelHandlerContext context) throws Exception {
		channelRead(context, Unpooled.EMPTY_BUFFER);
	}

	/**
	 * Sets the kind of request that the next response belongs to.
	 * @param isHeadRequest whether the request method is HEAD, whose responses have no
	 * body
	 */
	void expectResponseTo(boolean isHeadRequest) {
		this.responseToHead = isHeadRequest;
	}

	/**
	 * Returns the number of received bytes that are not decoded yet.
	 * @return the number of bytes
	 */
	int undecodedBytes() {
		return actualReadableBytes();
	}

	/**
	 * Tells whether a large head was decoded. This decoder keeps a buffer of the size of
	 * its longest line for as long as it is in use.
	 * @return {@code true} if the connection is not to be used again
	 */
	boolean hadLargeHead() {
		return this.largeHead;
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		this.parts.decode(ctx, buffer, out);
		this.largeHead |= this.parts.headBytes() >= LARGE_HEAD_BYTES;
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) throws Exception {
		this.parts.closeInput();
		super.channelInactive(ctx);
	}

	/**
	 * Tells whether a head has the status line of another one inside, which is the case
	 * if it continues a head that was broken off.
	 * @param response the head
	 * @return {@code true} if the reason phrase or the value of a header contains a
	 * status line
	 */
	static boolean hasInnerStatusLine(HttpResponse response) {
		if (STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
			return true;
		}
		Iterator<Map.Entry<CharSequence, CharSequence>> headers = response.headers().iteratorCharSequence();
		while (headers.hasNext()) {
			if (STATUS_LINE.matcher(headers.next().getValue()).find()) {
				return true;
			}
		}
		return false;
	}

	// Without this check, a line that has no colon behind its first word is a header with
	// that name and an empty value.
	@Override
	protected AsciiString splitHeaderName(byte[] line, int start, int length) {
		int end = start + length;
		while (end < line.length && (line[end] == ' ' || line[end] == '\t')) {
			end++;
		}
		if (end < line.length && line[end] != ':') {
			throw new IllegalArgumentException("header without a colon behind its name");
		}
		return super.splitHeaderName(line, start, length);
	}

	// Without this check, any number is a status code.
	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		if (!STATUS_CODE.matcher(initialLine[1]).matches()) {
			throw new IllegalArgumentException("status code that does not exist: " + initialLine[1]);
		}
		return super.createMessage(initialLine);
	}

	// The body of an interim response would be decoded as the final one.
	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		if (message instanceof HttpResponse response && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
				&& announcesBody(message)) {
			throw new IllegalArgumentException("interim response with a body");
		}
		return this.responseToHead || super.isContentAlwaysEmpty(message);
	}

	/**
	 * Tells whether a head announces a body although its status allows none. The body may
	 * arrive when the next response is expected.
	 * @param response the head
	 * @return {@code true} for 204 with a transfer coding or a length other than zero
	 */
	static boolean announcesSurplusBody(HttpResponse response) {
		return response.status().code() == HttpResponseStatus.NO_CONTENT.code() && announcesBody(response);
	}

	private static boolean announcesBody(HttpMessage message) {
		return message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
				|| HttpUtil.getContentLength(message, 0L) != 0;
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
	}

	/**
	 * Decodes the parts of responses.
	 */
	private final class Parts implements MessagePartReader.Decoder {

		@Override
		public void checkFirstBytes(ByteBuf buffer) {
			int known = Math.min(FIRST_BYTES.length, buffer.readableBytes());
			for (int i = 0; i < known; i++) {
				if (buffer.getByte(buffer.readerIndex() + i) != FIRST_BYTES[i]) {
					throw new IllegalArgumentException("response does not begin with a status line");
				}
			}
		}

		@Override
		public void decode(ChannelHandlerContext ctx, ByteBuf part, List<Object> out) throws Exception {
			BackendResponseDecoder.super.decode(ctx, part, out);
		}

		@Override
		public HttpMessage createInvalid() {
			return createInvalidMessage();
		}

	}

}
