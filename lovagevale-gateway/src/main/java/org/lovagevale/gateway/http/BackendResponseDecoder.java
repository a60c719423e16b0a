package org.lovagevale.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of backend servers and rejects those with ambiguous framing.
 *
 * <p>
 * Not thread-safe.
 */
final class BackendResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_HEAD_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 32_768;

	private boolean responseToHead;

	BackendResponseDecoder() {
		super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_HEAD_BYTES)
			.setMaxHeaderSize(MAX_HEAD_BYTES)
			.setMaxChunkSize(MAX_CHUNK_BYTES)
			.setAllowDuplicateContentLengths(false));
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

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.responseToHead || super.isContentAlwaysEmpty(message);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
	}

}
