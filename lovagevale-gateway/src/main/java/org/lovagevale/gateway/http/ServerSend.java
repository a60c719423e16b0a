package org.lovagevale.gateway.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.gateway.fleet.SlotGrant;

/**
 * One request on its way to one backend server.
 *
 * <p>
 * Invariant: after {@link #cancel()} nothing is reported to the exchange. Confined to the
 * event loop.
 */
final class ServerSend implements BackendListener {

	private final Exchange exchange;

	private final @Nullable SlotGrant grant;

	private final BackendInstance server;

	private final List<HttpContent> held = new ArrayList<>();

	private final long startedAt;

	private long heldBytes;

	private boolean cancelled;

	private @Nullable BackendConnection connection;

	private @Nullable HttpResponse response;

	ServerSend(Exchange exchange, @Nullable SlotGrant grant, BackendInstance server, long startedAt) {
		this.exchange = exchange;
		this.grant = grant;
		this.server = server;
		this.startedAt = startedAt;
	}

	/**
	 * Returns the slot that it uses.
	 * @return the slot, or {@code null} if it goes to another entry VM
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

	/**
	 * Holds a part of the body that is not passed on yet.
	 * @param content the part
	 * @return the bytes held
	 */
	long hold(HttpContent content) {
		this.held.add(content);
		this.heldBytes += content.content().readableBytes();
		return this.heldBytes;
	}

	/**
	 * Hands over the parts held.
	 * @return the parts; the caller releases them
	 */
	List<HttpContent> takeHeld() {
		List<HttpContent> parts = List.copyOf(this.held);
		this.held.clear();
		return parts;
	}

	void releaseHeld() {
		takeHeld().forEach(HttpContent::release);
	}

	/**
	 * Gives up the request at the server.
	 */
	void cancel() {
		this.cancelled = true;
		releaseHeld();
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
	public void head(HttpResponse head) {
		this.response = head;
	}

	@Override
	public void content(HttpContent content) {
		this.exchange.contentArrived(this, content);
	}

	@Override
	public void ended() {
		this.exchange.responseEnded(this);
	}

	@Override
	public void paused() {
		this.exchange.responsePaused(this);
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
