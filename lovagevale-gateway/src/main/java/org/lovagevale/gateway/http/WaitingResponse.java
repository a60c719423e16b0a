package org.lovagevale.gateway.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.memory.MemoryReservation;
import org.lovagevale.core.pipelining.WaitingBytes;

/**
 * What has arrived of a response that waits until earlier responses on its connection are
 * sent.
 *
 * <p>
 * Invariant: all of it is accounted for, in the size for its connection and in the
 * account of the process, until it is released or taken. Confined to the event loop.
 */
final class WaitingResponse {

	/** Size of the objects of a part, in bytes. */
	private static final int PART_OVERHEAD_BYTES = 144;

	private final WaitingBytes waitingBytes;

	private final MemoryReservation memory;

	private final List<ByteBuf> parts = new ArrayList<>();

	private @Nullable HttpResponse head;

	/** Size of what waits, with its objects. */
	private long bytes;

	private boolean finished;

	/**
	 * Creates a response of which nothing has arrived.
	 * @param waitingBytes the size of all waiting responses of the connection
	 * @param memory accounts for this response
	 */
	WaitingResponse(WaitingBytes waitingBytes, MemoryReservation memory) {
		this.waitingBytes = waitingBytes;
		this.memory = memory;
	}

	void setHead(HttpResponse newHead) {
		this.head = newHead;
		account(HeldSize.ofHead(newHead));
	}

	/**
	 * Adds a part of the body.
	 * @param part the part, which is released with this response
	 */
	void add(ByteBuf part) {
		this.parts.add(part);
		account(part.capacity() + PART_OVERHEAD_BYTES);
	}

	private void account(long addedBytes) {
		this.bytes += addedBytes;
		this.waitingBytes.add(addedBytes);
		this.memory.resize(this.bytes);
	}

	void finish() {
		this.finished = true;
	}

	boolean isFinished() {
		return this.finished;
	}

	@Nullable HttpResponse head() {
		return this.head;
	}

	/**
	 * Returns the size of what waits.
	 * @return the size in bytes, with its objects
	 */
	long bytes() {
		return this.bytes;
	}

	/**
	 * Removes the parts of the body. They and the head are no longer accounted for.
	 * @return the parts, which the recipient must release
	 */
	List<ByteBuf> takeParts() {
		List<ByteBuf> taken = List.copyOf(this.parts);
		this.parts.clear();
		this.waitingBytes.remove(this.bytes);
		this.bytes = 0;
		this.memory.resize(0);
		return taken;
	}

	/**
	 * Discards the head and the parts of the body.
	 */
	void release() {
		takeParts().forEach(ByteBuf::release);
		this.head = null;
	}

}
