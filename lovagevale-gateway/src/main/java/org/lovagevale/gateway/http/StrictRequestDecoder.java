package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import org.lovagevale.core.catalog.RequestLimits;

/**
 * Decodes the requests of callers and rejects those with ambiguous framing.
 *
 * <p>
 * Not thread-safe.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private static final int MAX_CHUNK_BYTES = 16_384;

	StrictRequestDecoder(RequestLimits limits) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(limits.maxHeaderBytes())
			.setMaxHeaderSize(limits.maxHeaderBytes())
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setAllowDuplicateContentLengths(false));
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
	}

}
