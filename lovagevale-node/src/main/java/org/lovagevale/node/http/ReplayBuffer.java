package org.lovagevale.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.jspecify.annotations.Nullable;

/**
 * Buffers a response body for replay while it is forwarded to the caller. A body larger
 * than the limit is not kept.
 *
 * <p>
 * Not thread-safe: confined to the stream of one response.
 */
final class ReplayBuffer {

	private final int maxBytes;

	private @Nullable ByteBuf buffered;

	private boolean overflowed;

	ReplayBuffer(int maxBytes) {
		this.maxBytes = maxBytes;
		this.overflowed = maxBytes <= 0;
	}

	void add(ByteBuf chunk) {
		if (this.overflowed) {
			return;
		}
		ByteBuf buffer = (this.buffered != null) ? this.buffered : Unpooled.buffer();
		if (buffer.readableBytes() + chunk.readableBytes() > this.maxBytes) {
			this.overflowed = true;
			this.buffered = null;
			return;
		}
		buffer.writeBytes(chunk, chunk.readerIndex(), chunk.readableBytes());
		this.buffered = buffer;
	}

	/**
	 * Returns the whole body.
	 * @return the bytes, or null if buffering was disabled or the body exceeded the limit
	 */
	byte @Nullable [] bytes() {
		if (this.overflowed) {
			return null;
		}
		return (this.buffered != null) ? ByteBufUtil.getBytes(this.buffered) : new byte[0];
	}

}
