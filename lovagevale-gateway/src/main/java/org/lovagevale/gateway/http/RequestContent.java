package org.lovagevale.gateway.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The body of a request, retained so that it can be sent again to another server.
 *
 * <p>
 * Invariants: a body of more than {@link #MAX_REPLAYABLE_BYTES} is dropped once it has
 * been sent, and the request cannot be sent again; a buffer of which a slice is being
 * sent is filled up, but never reallocated. Confined to the event loop.
 */
final class RequestContent {

	/** A body up to this size is read completely before a slot is requested, in bytes. */
	static final int BUFFERED_BEFORE_SLOT_BYTES = 65_536;

	/** A body up to this size can be sent again, in bytes. */
	static final int MAX_REPLAYABLE_BYTES = 262_144;

	/** Size up to which received parts are joined in one buffer, in bytes. */
	private static final int MAX_JOINED_BYTES = 16_384;

	/** Minimum size of a buffer that is added while the body is sent, in bytes. */
	private static final int MIN_BUFFER_BYTES = 1_024;

	/** Size of the objects of a buffer, in bytes. */
	private static final int BUFFER_OVERHEAD_BYTES = 144;

	// Parameters of the 64-bit FNV-1a hash.
	private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private final List<ByteBuf> buffers = new ArrayList<>();

	private long size;

	private long heldBytes;

	/** Whether a slice of the last buffer is being sent. */
	private boolean lastBufferSent;

	/** Index of the first buffer that was not sent completely. */
	private int unsentBuffer;

	/** Index of the first byte in that buffer that was not sent. */
	private int unsentByte;

	private long hash = FNV_OFFSET_BASIS;

	private boolean complete;

	private boolean dropped;

	/**
	 * Adds a copy of a part of the body. The part itself would keep the whole buffer that
	 * it was read into.
	 * @param content the part; this object releases it
	 */
	void add(HttpContent content) {
		ByteBuf part = content.content();
		int bytes = part.readableBytes();
		try {
			if (part.isReadable()) {
				updateHash(part);
				copy(part);
			}
			// Without the copy, the body would be sent as a whole with a part missing.
			this.size += bytes;
			this.complete = content instanceof LastHttpContent;
		}
		finally {
			content.release();
		}
	}

	private void copy(ByteBuf part) {
		ByteBuf last = this.buffers.isEmpty() ? null : this.buffers.getLast();
		if (last != null && this.lastBufferSent) {
			last.writeBytes(part, Math.min(last.writableBytes(), part.readableBytes()));
		}
		else if (last != null && last.readableBytes() + part.readableBytes() <= MAX_JOINED_BYTES) {
			this.heldBytes -= last.capacity();
			last.writeBytes(part);
			this.heldBytes += last.capacity();
		}
		if (part.isReadable()) {
			ByteBuf added = part.alloc().directBuffer(Math.max(part.readableBytes(), minBufferBytes()));
			this.buffers.add(added);
			this.heldBytes += added.capacity() + BUFFER_OVERHEAD_BYTES;
			this.lastBufferSent = false;
			added.writeBytes(part);
		}
	}

	// A buffer that is being sent has to have room for the parts that follow. The room is
	// in proportion to the body, so that a short one takes little.
	private int minBufferBytes() {
		return this.lastBufferSent ? (int) Math.clamp(this.size, MIN_BUFFER_BYTES, MAX_JOINED_BYTES) : 1;
	}

	private void updateHash(ByteBuf part) {
		part.forEachByte((value) -> {
			this.hash = (this.hash ^ value) * FNV_PRIME;
			return true;
		});
	}

	void updateHash(String text) {
		for (int i = 0; i < text.length(); i++) {
			this.hash = (this.hash ^ text.charAt(i)) * FNV_PRIME;
		}
	}

	long fingerprint() {
		return this.hash;
	}

	long size() {
		return this.size;
	}

	boolean isComplete() {
		return this.complete;
	}

	boolean isReplayable() {
		return !this.dropped;
	}

	/**
	 * Has the whole body returned by the next call of {@link #takeUnsent()}.
	 */
	void rewind() {
		this.unsentBuffer = 0;
		this.unsentByte = 0;
	}

	/**
	 * Returns what was received since the last call, and marks it as being sent.
	 * @return slices of the body; the recipient must release them
	 */
	List<ByteBuf> takeUnsent() {
		List<ByteBuf> slices = new ArrayList<>();
		for (int i = this.unsentBuffer; i < this.buffers.size(); i++) {
			ByteBuf buffer = this.buffers.get(i);
			if (buffer.writerIndex() > this.unsentByte) {
				slices.add(buffer.retainedSlice(this.unsentByte, buffer.writerIndex() - this.unsentByte));
			}
			this.unsentBuffer = i;
			this.unsentByte = (i + 1 < this.buffers.size()) ? 0 : buffer.writerIndex();
		}
		this.lastBufferSent = !this.buffers.isEmpty();
		return slices;
	}

	/**
	 * Returns the memory that the body takes, with its objects.
	 * @return the size in bytes
	 */
	long heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Drops the body, which has been sent, if it is too large to be sent again.
	 */
	void dropIfTooLarge() {
		if (this.size > MAX_REPLAYABLE_BYTES) {
			release();
			this.dropped = true;
		}
	}

	void release() {
		this.buffers.forEach(ByteBuf::release);
		this.buffers.clear();
		this.lastBufferSent = false;
		this.heldBytes = 0;
		rewind();
	}

}
