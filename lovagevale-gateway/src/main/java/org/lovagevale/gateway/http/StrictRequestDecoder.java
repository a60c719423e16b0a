package org.lovagevale.gateway.http;

import java.util.List;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.lovagevale.core.catalog.RequestLimits;

/**
 * Decodes the requests of callers and rejects those with ambiguous framing.
 *
 * <p>
 * Invariant: once a request with a large head has arrived completely, this decoder is
 * replaced by a new one, since it keeps a buffer of the size of the longest line for as
 * long as it is in use. Not thread-safe.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private static final int MAX_CHUNK_BYTES = 16_384;

	/**
	 * Size of a head from which the decoder is replaced after the request, in bytes. The
	 * heads of most callers are smaller.
	 */
	private static final int LARGE_HEAD_BYTES = 2_048;

	private static final byte LINE_FEED = '\n';

	private final Supplier<RequestLimits> limits;

	private int headBytes;

	private boolean headComplete;

	/** Lines of a head that has arrived in part. */
	private int partialLines;

	/**
	 * Creates a decoder for a new connection.
	 * @param limits returns the limits on requests; the current ones apply to this
	 * decoder
	 */
	StrictRequestDecoder(Supplier<RequestLimits> limits) {
		super(config(limits.get()));
		this.limits = limits;
	}

	private static HttpDecoderConfig config(RequestLimits limits) {
		return new HttpDecoderConfig().setMaxInitialLineLength(limits.maxHeaderBytes())
			.setMaxHeaderSize(limits.maxHeaderBytes())
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setAllowDuplicateContentLengths(false);
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		int start = buffer.readerIndex();
		int decoded = out.size();
		super.decode(ctx, buffer, out);
		if (!this.headComplete) {
			this.headBytes += buffer.readerIndex() - start;
			if (out.size() == decoded) {
				this.partialLines += countLines(buffer, start);
			}
		}
		for (Object part : out.subList(decoded, out.size())) {
			recordPart(ctx, part);
		}
	}

	private static int countLines(ByteBuf buffer, int start) {
		int lines = 0;
		int end = buffer.readerIndex();
		for (int i = buffer.indexOf(start, end, LINE_FEED); i >= 0; i = buffer.indexOf(i + 1, end, LINE_FEED)) {
			lines++;
		}
		return lines;
	}

	private void recordPart(ChannelHandlerContext ctx, Object part) {
		if (part instanceof HttpRequest) {
			this.headComplete = true;
			this.partialLines = 0;
		}
		if (part instanceof LastHttpContent) {
			boolean large = this.headBytes >= LARGE_HEAD_BYTES;
			this.headBytes = 0;
			this.headComplete = false;
			if (large) {
				// Bytes of the next request that have been read are passed to the new
				// decoder.
				ctx.pipeline().replace(this, null, new StrictRequestDecoder(this.limits));
			}
		}
	}

	/**
	 * Returns the size of a head that has arrived in part.
	 * @return the received bytes of it, 0 if there is none
	 */
	int partialHeadBytes() {
		return (this.headComplete ? 0 : this.headBytes) + actualReadableBytes();
	}

	/**
	 * Returns the number of complete lines of a head that has arrived in part.
	 * @return the number of lines, 0 if there is none
	 */
	int partialHeadLines() {
		return this.partialLines;
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
	}

}
