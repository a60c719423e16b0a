package org.lovagevale.gateway.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;

/**
 * The open connections of HTTP servers, which are closed without the loss of a request or
 * a response when the process ends.
 *
 * <p>
 * Thread-safe.
 */
public final class ServerConnections {

	/** Length of the queue of connections that wait to be accepted. */
	public static final int ACCEPT_BACKLOG = 1_024;

	/**
	 * Maximum number of connections that are accepted at a time. It is larger than the
	 * accept queue, so that the queue is empty afterwards.
	 */
	private static final int MAX_ACCEPTED_AT_ONCE = 2 * ACCEPT_BACKLOG;

	/**
	 * Time between the decision to close a port and the close, in milliseconds. The event
	 * loop accepts the waiting connections in between.
	 */
	private static final long ACCEPT_BEFORE_CLOSE_MS = 1;

	private static final int MIN_READ_BYTES = 64;

	private static final int INITIAL_READ_BYTES = 2_048;

	/** Interval at which open connections are checked before the end, in milliseconds. */
	private static final long CLOSE_CHECK_INTERVAL_MS = 20;

	private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();

	private final long minIdleMs;

	/**
	 * Creates a set without connections.
	 * @param minIdleMs the time without activity before which a connection is not closed
	 * as idle, in milliseconds; the request of a caller that has just connected arrives
	 * within it
	 */
	public ServerConnections(long minIdleMs) {
		this.minIdleMs = minIdleMs;
	}

	/**
	 * Returns an allocator for the listening channel with which the whole accept queue is
	 * accepted at a time. By default, it is one connection.
	 * @return the allocator
	 */
	public static RecvByteBufAllocator acceptAllWaiting() {
		return new ServerChannelRecvByteBufAllocator().respectMaybeMoreData(false)
			.maxMessagesPerRead(MAX_ACCEPTED_AT_ONCE);
	}

	/**
	 * Returns an allocator for a connection that is read once in a turn of the event
	 * loop. By default, up to 16 buffers are read, which takes the time of other
	 * connections while one has data without end.
	 * @param maxBytes the maximum size of the buffer, in bytes
	 * @return the allocator
	 */
	public static RecvByteBufAllocator oneBufferAtATime(int maxBytes) {
		return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, maxBytes).maxMessagesPerRead(1);
	}

	/**
	 * Closes a port. New connections are refused at once; those that callers have opened
	 * already are accepted first, since closing the port would reset them.
	 * @param listening the listening channel
	 * @param close closes the channel
	 */
	public static void closePort(Channel listening, Runnable close) {
		ConnectionRefusal.refuseNewConnections(listening);
		EventLoop loop = listening.eventLoop();
		// A delay that begins on another thread may end before the loop has run.
		loop.execute(() -> loop.schedule(close, ACCEPT_BEFORE_CLOSE_MS, TimeUnit.MILLISECONDS));
	}

	/**
	 * Adds a connection; called while its pipeline is set up.
	 * @param channel the channel of the connection
	 */
	public void add(Channel channel) {
		ServerConnection connection = new ServerConnection(channel, this.minIdleMs);
		this.connections.add(connection);
		channel.closeFuture().addListener((closed) -> this.connections.remove(connection));
		channel.pipeline().addFirst(new LingeringCloseHandler(), connection);
	}

	/**
	 * Records that a request was read; called on the event loop of its connection.
	 * @param channel the channel of the connection
	 */
	public void requestStarted(Channel channel) {
		ServerConnection.of(channel).requestStarted();
	}

	/**
	 * Records that the response to a request is complete.
	 * @param channel the channel of the connection
	 */
	public void requestEnded(Channel channel) {
		channel.eventLoop().execute(ServerConnection.of(channel)::requestEnded);
	}

	/**
	 * Closes the connections without a request in progress, and waits until the others
	 * are closed as well. Each response has to close its connection during a planned
	 * stop.
	 * @param timeoutMs the maximum time to wait, in milliseconds
	 * @return the number of connections that are still open
	 */
	public int close(long timeoutMs) {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
		try {
			while (!this.connections.isEmpty() && System.nanoTime() < deadline) {
				this.connections.forEach(ServerConnection::closeIfIdle);
				Thread.sleep(CLOSE_CHECK_INTERVAL_MS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return this.connections.size();
	}

}
