package org.lovagevale.gateway.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.util.AttributeKey;

/**
 * Tells whether a connection of an HTTP server is idle, and closes it if so.
 *
 * <p>
 * The handler is placed in front of the decoder. Confined to the event loop, except for
 * {@link #closeIfIdle()}.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Time between the decision to close an idle connection and the close, in
	 * milliseconds. The event loop reads what has arrived in between.
	 */
	private static final long READ_BEFORE_CLOSE_MS = 1;

	private static final AttributeKey<ServerConnection> KEY = AttributeKey.valueOf(ServerConnection.class, "self");

	private final Channel channel;

	private final long minIdleMs;

	private int openRequests;

	/** Whether bytes have arrived that do not belong to a request in progress. */
	private boolean receiving;

	private long lastActivityNanos = System.nanoTime();

	/**
	 * Creates the handler of a connection.
	 * @param channel the channel of the connection
	 * @param minIdleMs the time without activity before which the connection is not
	 * closed as idle, in milliseconds
	 */
	ServerConnection(Channel channel, long minIdleMs) {
		this.channel = channel;
		this.minIdleMs = minIdleMs;
		channel.attr(KEY).set(this);
	}

	/**
	 * Returns the handler of a connection.
	 * @param channel the channel of the connection
	 * @return its handler
	 */
	static ServerConnection of(Channel channel) {
		return channel.attr(KEY).get();
	}

	void requestStarted() {
		this.openRequests++;
		this.receiving = false;
	}

	void requestEnded() {
		this.openRequests--;
		this.lastActivityNanos = System.nanoTime();
	}

	/**
	 * Closes the connection if no request is in progress and none is likely to be on its
	 * way. May be called on any thread.
	 */
	void closeIfIdle() {
		EventLoop loop = this.channel.eventLoop();
		// A delay that begins on another thread may end before the loop has run.
		loop.execute(() -> loop.schedule(this::closeIfStillIdle, READ_BEFORE_CLOSE_MS, TimeUnit.MILLISECONDS));
	}

	private void closeIfStillIdle() {
		long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.lastActivityNanos);
		if (this.openRequests == 0 && !this.receiving && idleMs >= this.minIdleMs) {
			this.channel.close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		this.receiving = this.receiving || this.openRequests == 0;
		this.lastActivityNanos = System.nanoTime();
		ctx.fireChannelRead(message);
	}

}
