package org.lovagevale.gateway.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The body of a request, kept so that it can be sent to another server.
 *
 * <p>
 * Invariant: a body of more than {@link #KEPT_BYTES} is dropped once it was sent, and the
 * request cannot be sent again. Confined to the event loop.
 */
final class RequestContent {

	/** A body up to this size is read before a server is asked for, in bytes. */
	static final int BUFFERED_BYTES = 65_536;

	/** A body up to this size can be sent again, in bytes. */
	static final int KEPT_BYTES = 262_144;

	// FNV-1a, 64 bits.
	private static final long OFFSET = 0xcbf29ce484222325L;

	private static final long PRIME = 0x100000001b3L;

	private final List<ByteBuf> parts = new ArrayList<>();

	private long size;

	private long hash = OFFSET;

	private boolean complete;

	private boolean dropped;

	/**
	 * Takes a part.
	 * @param content the part; it is released by this object
	 */
	void add(HttpContent content) {
		ByteBuf part = content.content();
		this.size += part.readableBytes();
		this.complete = content instanceof LastHttpContent;
		if (part.isReadable()) {
			hash(part);
			this.parts.add(part);
		}
		else {
			content.release();
		}
	}

	private void hash(ByteBuf part) {
		part.forEachByte((value) -> {
			this.hash = (this.hash ^ value) * PRIME;
			return true;
		});
	}

	void hash(String text) {
		for (int i = 0; i < text.length(); i++) {
			this.hash = (this.hash ^ text.charAt(i)) * PRIME;
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

	void trimSent() {
		if (this.size > KEPT_BYTES) {
			release();
			this.dropped = true;
		}
	}

	void release() {
		this.parts.forEach(ByteBuf::release);
		this.parts.clear();
	}

}
