package org.lovagevale.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the body of a response for replay while it is passed on, if it is small enough.
 *
 * <p>
 * Not thread-safe: used from the stream of one response.
 */
final class AnswerBody {

	private final int limit;

	private @Nullable ByteBuf kept;

	private boolean overflown;

	AnswerBody(int limit) {
		this.limit = limit;
		this.overflown = limit <= 0;
	}

	void add(ByteBuf chunk) {
		if (this.overflown) {
			return;
		}
		ByteBuf buffer = (this.kept != null) ? this.kept : Unpooled.buffer();
		if (buffer.readableBytes() + chunk.readableBytes() > this.limit) {
			this.overflown = true;
			this.kept = null;
			return;
		}
		buffer.writeBytes(chunk, chunk.readerIndex(), chunk.readableBytes());
		this.kept = buffer;
	}

	/**
	 * Returns the whole body.
	 * @return the bytes, or null if they were not to be kept or were too many
	 */
	byte @Nullable [] bytes() {
		if (this.overflown) {
			return null;
		}
		return (this.kept != null) ? ByteBufUtil.getBytes(this.kept) : new byte[0];
	}

}
