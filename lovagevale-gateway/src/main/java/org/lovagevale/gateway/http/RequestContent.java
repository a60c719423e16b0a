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
 * Invariant: a body of more than {@link #MAX_REPLAYABLE_BYTES} is dropped once it has
 * been sent, and the request cannot be sent again. Confined to the event loop.
 */
final class RequestContent {

	/** A body up to this size is read completely before a slot is requested, in bytes. */
	static final int BUFFERED_BEFORE_SLOT_BYTES = 65_536;

	/** A body up to this size can be sent again, in bytes. */
	static final int MAX_REPLAYABLE_BYTES = 262_144;

	/** Size up to which received parts are joined in one buffer, in bytes. */
	private static final int MAX_JOINED_BYTES = 16_384;

	// Parameters of the 64-bit FNV-1a hash.
	private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private final List<ByteBuf> parts = new ArrayList<>();

	private long size;

	private long heldBytes;

	/** Whether the last buffer is already being sent, so that it must not change. */
	private boolean sealed;

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
		int bytes = part.readableBytes();
		ByteBuf last = this.parts.isEmpty() ? null : this.parts.getLast();
		if (last == null || this.sealed || last.readableBytes() + bytes > MAX_JOINED_BYTES) {
			last = part.alloc().directBuffer(bytes);
			this.parts.add(last);
			this.sealed = false;
		}
		else {
			this.heldBytes -= last.capacity();
		}
		last.writeBytes(part);
		this.heldBytes += last.capacity();
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

	List<ByteBuf> parts() {
		return this.parts;
	}

	/**
	 * Marks all parts as being sent. Later parts are added behind them.
	 */
	void seal() {
		this.sealed = true;
	}

	/**
	 * Returns the memory that the body takes.
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
		this.parts.forEach(ByteBuf::release);
		this.parts.clear();
		this.heldBytes = 0;
	}

}
