package org.lovagevale.gateway.http;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.lovagevale.core.catalog.RequestLimits;

/**
 * Decodes the requests of callers and rejects those with ambiguous framing.
 *
 * <p>
 * Invariants: a head that has arrived in part is kept as bytes; once a request with a
 * large head has arrived completely, this decoder is replaced by a new one, since it
 * keeps a buffer of the size of the longest line for as long as it is in use. Not
 * thread-safe.
 */
final class StrictRequestDecoder extends HttpRequestDecoder implements PartDecoder {

	private static final int MAX_CHUNK_BYTES = 16_384;

	/**
	 * Size of a head from which the decoder is replaced after the request, in bytes. The
	 * heads of most callers are smaller.
	 */
	private static final int LARGE_HEAD_BYTES = 2_048;

	/**
	 * Size of a head that is decoded in any turn of the event loop. Ordinary requests
	 * have up to 50 lines and at most 16,384 bytes where that is the limit. The 13,000
	 * lines that fit into 65,536 bytes take 20 to 40 ms on a busy machine; callers that
	 * sent such heads without a pause held up the event loop for 48 s. Searching one line
	 * of that size for names takes 3 ms.
	 */
	private static final TurnLimits TURN_LIMITS = new TurnLimits(256, 16_384);

	private final Supplier<RequestLimits> limits;

	private final BooleanSupplier isDecodable;

	private final MessagePartReader parts;

	/**
	 * Creates a decoder for a new connection.
	 * @param limits returns the limits on requests; the current ones apply to this
	 * decoder
	 * @param isDecodable tells whether decoded parts of requests can be handled now
	 */
	StrictRequestDecoder(Supplier<RequestLimits> limits, BooleanSupplier isDecodable) {
		this(limits, isDecodable, limits.get().maxHeaderBytes());
	}

	private StrictRequestDecoder(Supplier<RequestLimits> limits, BooleanSupplier isDecodable, int maxHeaderBytes) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes)
			.setMaxHeaderSize(maxHeaderBytes)
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setAllowDuplicateContentLengths(false));
		this.limits = limits;
		this.isDecodable = isDecodable;
		this.parts = new MessagePartReader(new Parts(), isDecodable, maxHeaderBytes, Integer.MAX_VALUE, TURN_LIMITS);
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

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		int decoded = out.size();
		this.parts.decode(ctx, buffer, out);
		for (Object part : out.subList(decoded, out.size())) {
			if (part instanceof LastHttpContent) {
				requestDecoded(ctx);
			}
		}
	}

	private void requestDecoded(ChannelHandlerContext ctx) {
		if (this.parts.headBytes() >= LARGE_HEAD_BYTES) {
			// Bytes of the next request that have been read are passed to the new
			// decoder.
			ctx.pipeline().replace(this, null, new StrictRequestDecoder(this.limits, this.isDecodable));
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) throws Exception {
		if (this.parts.isSuspended()) {
			// Nobody waits for the responses to these requests.
			this.parts.discardInput();
		}
		else {
			this.parts.closeInput();
		}
		super.channelInactive(ctx);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
	}

	/**
	 * Decodes the parts of requests.
	 */
	private final class Parts implements MessagePartReader.Decoder {

		@Override
		public void checkFirstBytes(ByteBuf buffer) {
			if (buffer.getByte(buffer.readerIndex()) <= ' ') {
				throw new IllegalArgumentException("request line does not begin with a method");
			}
		}

		@Override
		public void decode(ChannelHandlerContext ctx, ByteBuf part, List<Object> out) throws Exception {
			StrictRequestDecoder.super.decode(ctx, part, out);
		}

		@Override
		public HttpMessage createInvalid() {
			return createInvalidMessage();
		}

	}

}
