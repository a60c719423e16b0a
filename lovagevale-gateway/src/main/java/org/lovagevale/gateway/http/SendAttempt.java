package org.lovagevale.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.memory.HeldKind;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.core.memory.MemoryReservation;
import org.lovagevale.gateway.fleet.SlotGrant;

/**
 * One attempt to send a request to a backend server or to an entry VM of another region.
 *
 * <p>
 * Invariants: after {@link #cancel()} no event is reported to the exchange; what is
 * buffered between two reads is accounted for, and the attempt is given up if the process
 * is full and this attempt holds the most. Confined to the event loop.
 */
final class SendAttempt implements BackendListener {

	private final Exchange exchange;

	private final @Nullable SlotGrant grant;

	private final BackendInstance server;

	/** The received part of the response body that is not passed on yet. */
	private final ContentBuffer buffered = new ContentBuffer();

	private final MemoryReservation memory;

	private final long startedAt;

	private long discardedBytes;

	private boolean cancelled;

	private boolean ended;

	private @Nullable BackendConnection connection;

	private @Nullable HttpResponse response;

	/**
	 * Creates an attempt without a connection.
	 * @param exchange receives the events
	 * @param grant the slot that the attempt uses, {@code null} for a relayed request
	 * @param server the server or the entry VM
	 * @param account the account of the bytes held for responses
	 * @param startedAt the monotonic time in milliseconds
	 */
	SendAttempt(Exchange exchange, @Nullable SlotGrant grant, BackendInstance server, MemoryAccount account,
			long startedAt) {
		this.exchange = exchange;
		this.grant = grant;
		this.server = server;
		this.memory = account.reserveEvictable(HeldKind.RESPONSE_BODY, this::evict);
		this.startedAt = startedAt;
	}

	/**
	 * Returns the slot that the attempt uses.
	 * @return the slot, or {@code null} if the request is relayed to another entry VM
	 */
	@Nullable SlotGrant grant() {
		return this.grant;
	}

	boolean isRelay() {
		return this.grant == null;
	}

	BackendInstance server() {
		return this.server;
	}

	long startedAt() {
		return this.startedAt;
	}

	@Nullable BackendConnection connection() {
		return this.connection;
	}

	@Nullable HttpResponse response() {
		return this.response;
	}

	boolean isEnded() {
		return this.ended;
	}

	void markEnded() {
		this.ended = true;
	}

	/**
	 * Releases a part of the response body that nobody needs.
	 * @param content the part
	 * @return the number of received bytes that were not passed on
	 */
	long discard(HttpContent content) {
		this.discardedBytes += this.buffered.size() + content.content().readableBytes();
		releaseBuffered();
		content.release();
		return this.discardedBytes;
	}

	/**
	 * Buffers a part of the response body that is not passed on yet.
	 * @param content the part; this attempt releases it
	 * @return the number of buffered bytes
	 */
	int buffer(HttpContent content) {
		try {
			this.buffered.add(content.content());
		}
		finally {
			content.release();
		}
		return this.buffered.size();
	}

	/**
	 * Returns the size of the buffered part of the response body.
	 * @return the size in bytes
	 */
	int bufferedBytes() {
		return this.buffered.size();
	}

	/**
	 * Accounts for the buffered part, which is held until further data is read. A
	 * response that arrives at once is not counted, so it is never evicted.
	 */
	void accountBuffered() {
		this.memory.resize(this.buffered.heldBytes());
	}

	/**
	 * Removes the buffered part and returns it.
	 * @return the part, which the recipient must release, or {@code null} if there is
	 * none
	 */
	@Nullable ByteBuf takeBuffered() {
		this.memory.resize(0);
		return this.buffered.take();
	}

	void releaseBuffered() {
		this.memory.resize(0);
		this.buffered.release();
	}

	private void evict() {
		BackendConnection open = this.connection;
		if (open != null) {
			open.abandon();
		}
		this.exchange.connectionLost(this, "no memory for the response");
	}

	/**
	 * Cancels the request at the server.
	 */
	void cancel() {
		this.cancelled = true;
		releaseBuffered();
		BackendConnection open = this.connection;
		if (open != null) {
			open.abandon();
		}
	}

	@Override
	public void connected(BackendConnection ready) {
		if (this.cancelled) {
			ready.channel().close();
			return;
		}
		this.connection = ready;
		this.exchange.connected(this, ready);
	}

	@Override
	public void unreachable(Throwable cause) {
		if (!this.cancelled) {
			this.exchange.unreachable(this, String.valueOf(cause.getMessage()));
		}
	}

	@Override
	public void headReceived(HttpResponse head) {
		this.response = head;
	}

	@Override
	public void contentReceived(HttpContent content) {
		this.exchange.contentReceived(this, content);
	}

	@Override
	public void ended() {
		this.exchange.responseEnded(this);
	}

	@Override
	public void readComplete() {
		this.exchange.responseReadComplete(this);
	}

	@Override
	public void failed(String reason) {
		this.exchange.connectionLost(this, reason);
	}

	@Override
	public void writable() {
		this.exchange.serverWritable();
	}

}
