package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import org.jspecify.annotations.Nullable;

/**
 * Joins copies of parts of a body in one buffer. A received part itself would keep the
 * whole buffer that it was read into, and parts of a few bytes take many times their size
 * with their objects.
 *
 * <p>
 * Confined to the event loop.
 */
final class ContentBuffer {

	private @Nullable ByteBuf joined;

	/**
	 * Adds a copy of a part.
	 * @param part the part, which the caller of this method releases
	 */
	void add(ByteBuf part) {
		int bytes = part.readableBytes();
		if (bytes == 0) {
			return;
		}
		ByteBuf buffer = this.joined;
		if (buffer == null) {
			buffer = part.alloc().directBuffer(bytes);
			this.joined = buffer;
		}
		buffer.writeBytes(part, part.readerIndex(), bytes);
	}

	/**
	 * Returns the number of bytes in this buffer.
	 * @return the number
	 */
	int size() {
		ByteBuf buffer = this.joined;
		return (buffer != null) ? buffer.readableBytes() : 0;
	}

	/**
	 * Returns the memory that this buffer takes.
	 * @return the size in bytes
	 */
	int heldBytes() {
		ByteBuf buffer = this.joined;
		return (buffer != null) ? buffer.capacity() : 0;
	}

	/**
	 * Removes and returns the content.
	 * @return the content, which the recipient must release, or {@code null} if there is
	 * none
	 */
	@Nullable ByteBuf take() {
		ByteBuf buffer = this.joined;
		this.joined = null;
		return buffer;
	}

	/**
	 * Discards the content.
	 */
	void release() {
		ByteBuf buffer = take();
		if (buffer != null) {
			buffer.release();
		}
	}

}
