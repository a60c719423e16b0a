package org.lovagevale.gateway.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.gateway.fleet.SlotGrant;

/**
 * One attempt to send a request to a backend server or to an entry VM of another region.
 *
 * <p>
 * Invariant: after {@link #cancel()} no event is reported to the exchange. Confined to
 * the event loop.
 */
final class SendAttempt implements BackendListener {

	private final Exchange exchange;

	private final @Nullable SlotGrant grant;

	private final BackendInstance server;

	private final List<HttpContent> buffered = new ArrayList<>();

	private final long startedAt;

	private long bufferedBytes;

	private boolean cancelled;

	private boolean ended;

	private @Nullable BackendConnection connection;

	private @Nullable HttpResponse response;

	SendAttempt(Exchange exchange, @Nullable SlotGrant grant, BackendInstance server, long startedAt) {
		this.exchange = exchange;
		this.grant = grant;
		this.server = server;
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
		this.bufferedBytes += content.content().readableBytes();
		content.release();
		return this.bufferedBytes;
	}

	/**
	 * Buffers a part of the response body that is not passed on yet.
	 * @param content the part
	 * @return the number of buffered bytes
	 */
	long buffer(HttpContent content) {
		this.buffered.add(content);
		this.bufferedBytes += content.content().readableBytes();
		return this.bufferedBytes;
	}

	/**
	 * Removes the buffered parts and returns them.
	 * @return the parts; the recipient must release them
	 */
	List<HttpContent> takeBuffered() {
		List<HttpContent> parts = List.copyOf(this.buffered);
		this.buffered.clear();
		return parts;
	}

	void releaseBuffered() {
		takeBuffered().forEach(HttpContent::release);
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
