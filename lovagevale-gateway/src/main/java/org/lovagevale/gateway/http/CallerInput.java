package org.lovagevale.gateway.http;

import java.util.ArrayDeque;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.memory.MemoryReservation;

/**
 * What a caller has sent and what is not handled yet, and whether more of it is read.
 *
 * <p>
 * Invariants: nothing is read while received bytes cannot be decoded, while the process
 * is full or while the request in progress takes no more of its body; all that is held is
 * accounted for, either as part of an accepted request or as something that can be given
 * up. Confined to the event loop.
 */
final class CallerInput {

	/** Maximum number of queued HTTP objects of later requests before reading stops. */
	private static final int MAX_QUEUED_OBJECTS = 64;

	private final CallerCloseRecorder closeRecorder;

	private final ArrayDeque<HttpObject> queued = new ArrayDeque<>();

	/** Monotonic times in milliseconds at which the queued request heads arrived. */
	private final ArrayDeque<Long> queuedArrivals = new ArrayDeque<>();

	/** Memory of what has arrived of requests that are not accepted yet. */
	private final MemoryReservation pendingMemory;

	/** Memory of the received bytes of a request that is accepted already. */
	private final MemoryReservation acceptedMemory;

	private @Nullable ChannelHandlerContext context;

	/** Size of the queued objects. */
	private long queuedBytes;

	/** Bytes of a request head that has arrived in part. */
	private int partialHeadBytes;

	/** Size of the buffer of the bytes that are not decoded yet. */
	private int undecodedBufferBytes;

	/** Whether the exchange takes further parts of the request. */
	private boolean wanted = true;

	/** Whether nothing is read until received bytes are decoded. */
	private boolean decodingSuspended;

	/**
	 * Whether further requests are not read, since the connection is closed after the
	 * current one.
	 */
	private boolean discarded;

	/** Whether no data is read because the process is full. */
	private boolean pausedForMemory;

	/** Monotonic time in milliseconds at which the last removed head arrived. */
	private long arrivedAt;

	/**
	 * Creates the input of a new connection.
	 * @param pendingMemory accounts for requests that are not accepted yet
	 * @param acceptedMemory accounts for the rest of an accepted request
	 * @param closeRecorder records what is discarded
	 */
	CallerInput(MemoryReservation pendingMemory, MemoryReservation acceptedMemory, CallerCloseRecorder closeRecorder) {
		this.pendingMemory = pendingMemory;
		this.acceptedMemory = acceptedMemory;
		this.closeRecorder = closeRecorder;
	}

	void start(ChannelHandlerContext added) {
		this.context = added;
	}

	private ChannelHandlerContext context() {
		ChannelHandlerContext known = this.context;
		if (known == null) {
			throw new IllegalStateException("connection is not open yet");
		}
		return known;
	}

	/**
	 * Adds the head of a request.
	 * @param head the head
	 * @param headArrivedAt the monotonic time at which it arrived, in milliseconds
	 */
	void addHead(HttpRequest head, long headArrivedAt) {
		add(head);
		this.queuedArrivals.add(headArrivedAt);
	}

	/**
	 * Adds a part of the body of a request.
	 * @param part the part
	 */
	void add(HttpObject part) {
		this.queuedBytes += HeldSize.of(part);
		this.queued.add(part);
	}

	boolean isEmpty() {
		return this.queued.isEmpty();
	}

	boolean isFull() {
		return this.queued.size() >= MAX_QUEUED_OBJECTS;
	}

	@Nullable HttpObject peek() {
		return this.queued.peek();
	}

	/**
	 * Removes the next part.
	 * @return the part, which the caller of this method releases
	 */
	HttpObject remove() {
		HttpObject next = this.queued.remove();
		this.queuedBytes -= HeldSize.of(next);
		if (next instanceof HttpRequest) {
			this.arrivedAt = this.queuedArrivals.remove();
		}
		return next;
	}

	/**
	 * Returns when the head that was removed last has arrived.
	 * @return the monotonic time in milliseconds
	 */
	long arrivedAt() {
		return this.arrivedAt;
	}

	/**
	 * Returns the size of a head that has arrived in part.
	 * @return the size in bytes, 0 if there is no such head
	 */
	int partialHeadBytes() {
		return this.partialHeadBytes;
	}

	boolean isDecodingSuspended() {
		return this.decodingSuspended;
	}

	boolean isPausedForMemory() {
		return this.pausedForMemory;
	}

	/**
	 * Tells whether the request in progress takes further parts.
	 * @return {@code false} while they are not read
	 */
	boolean isWanted() {
		return this.wanted;
	}

	boolean isReading() {
		return context().channel().config().isAutoRead();
	}

	/**
	 * Records what is held after received bytes were decoded.
	 * @param decoder the decoder of this connection
	 * @param closing whether nothing is kept, since the connection is closed
	 */
	void turnEnded(PartDecoder decoder, boolean closing) {
		this.undecodedBufferBytes = closing ? 0 : decoder.heldBytes();
		this.partialHeadBytes = closing ? 0 : decoder.partialHeadBytes();
		this.decodingSuspended = decoder.parts().isSuspended();
	}

	/**
	 * Accounts for what is held.
	 * @param current the exchange whose body is being read, or {@code null}
	 */
	void updateMemory(@Nullable Exchange current) {
		boolean accepted = current != null && !current.isBodyComplete();
		this.pendingMemory.resize(accepted ? 0 : this.undecodedBufferBytes + this.queuedBytes);
		// The next bytes of a body that was accepted are accounted for with it.
		boolean reserved = current != null && current.isNextContentReserved();
		this.acceptedMemory.resize((accepted && !reserved) ? this.undecodedBufferBytes + this.queuedBytes : 0);
	}

	void releaseMemory() {
		this.pendingMemory.resize(0);
		this.acceptedMemory.resize(0);
	}

	/**
	 * Sets whether the request in progress takes further parts.
	 * @param newWanted {@code false} to apply backpressure
	 */
	void setWanted(boolean newWanted) {
		this.wanted = newWanted;
	}

	void setPausedForMemory(boolean paused) {
		this.pausedForMemory = paused;
	}

	/**
	 * Sets whether all that follows is left unread.
	 * @param newDiscarded {@code true} to read no further requests
	 */
	void setDiscarded(boolean newDiscarded) {
		this.discarded = newDiscarded;
	}

	/**
	 * Starts or stops reading.
	 * @return {@code true} if reading was resumed
	 */
	boolean applyReading() {
		boolean allowed = this.wanted && !this.decodingSuspended && !this.pausedForMemory && !this.discarded;
		boolean resumed = allowed && !isReading();
		context().channel().config().setAutoRead(allowed);
		return resumed;
	}

	void continueDecoding() {
		ArrivalHandler arrivals = this.decodingSuspended ? context().pipeline().get(ArrivalHandler.class) : null;
		if (arrivals != null) {
			arrivals.turns().continueLater();
		}
	}

	boolean hasUndecoded() {
		return this.undecodedBufferBytes > 0;
	}

	void discardUndecoded() {
		this.undecodedBufferBytes = 0;
		this.decodingSuspended = false;
		ArrivalHandler arrivals = context().pipeline().get(ArrivalHandler.class);
		if (arrivals != null) {
			arrivals.turns().discardInput();
		}
	}

	void discardQueued() {
		this.queued.forEach(this::discard);
		this.queued.clear();
		this.queuedArrivals.clear();
		this.queuedBytes = 0;
	}

	/**
	 * Releases a part that is not handled.
	 * @param part the part
	 */
	void discard(HttpObject part) {
		this.closeRecorder.recordDiscarded(part);
		ReferenceCountUtil.release(part);
	}

}
