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

	// Parameters of the 64-bit FNV-1a hash.
	private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private final List<ByteBuf> parts = new ArrayList<>();

	private long size;

	private long hash = FNV_OFFSET_BASIS;

	private boolean complete;

	private boolean dropped;

	/**
	 * Adds a part of the body.
	 * @param content the part; this object releases it
	 */
	void add(HttpContent content) {
		ByteBuf part = content.content();
		this.size += part.readableBytes();
		this.complete = content instanceof LastHttpContent;
		if (part.isReadable()) {
			updateHash(part);
			this.parts.add(part);
		}
		else {
			content.release();
		}
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
	}

}
