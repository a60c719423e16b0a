package org.lovagevale.gateway.http;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.core.placing.ServerAnnouncements;
import org.lovagevale.gateway.GatewayMetrics;
import org.lovagevale.gateway.ServerProtocol;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A pool of connections to backend servers and to entry VMs of other regions.
 *
 * <p>
 * Invariant: a connection is reused only for the run of the server that it was opened to,
 * and only while that run has not announced that it is leaving. Confined to the event
 * loop.
 */
public final class BackendConnectionPool {

	/** Timeout for opening a connection within the region, in milliseconds. */
	private static final int CONNECT_TIMEOUT_MS = 400;

	/** Maximum size of the buffer into which data of a server is read, in bytes. */
	private static final int MAX_READ_BYTES = 32_768;

	/** Maximum number of idle connections per server. */
	private static final int MAX_IDLE_PER_SERVER = 4;

	private static final Logger LOGGER = LoggerFactory.getLogger(BackendConnectionPool.class);

	private final EventLoop loop;

	private final Supplier<Channel> channelFactory;

	private final ServerProtocol protocol;

	private final Clock clock;

	private final GatewayMetrics metrics;

	private final ServerAnnouncements announcements;

	private final MemoryAccount responseMemory;

	private final TurnScheduler scheduler;

	private final Consumer<BackendInstance> leavingListener;

	private final Map<ServerName, ArrayDeque<BackendConnection>> idle = new HashMap<>();

	/**
	 * Creates a pool.
	 * @param loop the event loop
	 * @param channelFactory creates client channels
	 * @param protocol interprets the headers of responses
	 * @param clock the clock
	 * @param metrics counts the opened connections
	 * @param announcements receives what servers announce in their responses
	 * @param responseMemory the account of the bytes held for responses
	 * @param scheduler runs what does not fit into one turn of the event loop
	 * @param leavingListener receives a run of a server when it is first known to leave,
	 * called on the event loop
	 */
	public BackendConnectionPool(EventLoop loop, Supplier<Channel> channelFactory, ServerProtocol protocol, Clock clock,
			GatewayMetrics metrics, ServerAnnouncements announcements, MemoryAccount responseMemory,
			TurnScheduler scheduler, Consumer<BackendInstance> leavingListener) {
		this.loop = loop;
		this.channelFactory = channelFactory;
		this.protocol = protocol;
		this.clock = clock;
		this.metrics = metrics;
		this.announcements = announcements;
		this.responseMemory = responseMemory;
		this.scheduler = scheduler;
		this.leavingListener = leavingListener;
	}

	/**
	 * Provides an idle connection to a server, or a new one if there is none.
	 * @param server the server
	 * @param maxIdleMs the maximum time that a reused connection may have been idle, in
	 * milliseconds
	 * @param listener receives the connection or the error
	 */
	void acquire(BackendInstance server, long maxIdleMs, BackendListener listener) {
		acquire(server, maxIdleMs, this::recordAnnouncements, listener);
	}

	/**
	 * Provides an idle connection to an entry VM, or a new one if there is none. What its
	 * responses announce concerns a server behind it, and not the entry VM.
	 * @param entryVm the entry VM, represented as a backend server
	 * @param maxIdleMs the maximum time that a reused connection may have been idle, in
	 * milliseconds
	 * @param listener receives the connection or the error
	 */
	void acquireEntryVm(BackendInstance entryVm, long maxIdleMs, BackendListener listener) {
		acquire(entryVm, maxIdleMs, (vm, response) -> {
		}, listener);
	}

	private void acquire(BackendInstance server, long maxIdleMs, BackendConnection.ResponseObserver observer,
			BackendListener listener) {
		BackendConnection idleConnection = takeIdle(server, maxIdleMs);
		if (idleConnection != null) {
			listener.connected(idleConnection);
			return;
		}
		BackendConnection connection = new BackendConnection(server, this.protocol, this.responseMemory, this.scheduler,
				observer, (released) -> addIdle(server.id(), released), this.metrics);
		this.metrics.countConnection(server.service().value());
		bootstrap(connection).connect(server.host(), server.port()).addListener((future) -> {
			if (future.isSuccess()) {
				listener.connected(connection);
			}
			else {
				listener.unreachable(future.cause());
			}
		});
	}

	private Bootstrap bootstrap(BackendConnection connection) {
		return new Bootstrap().group(this.loop)
			.channelFactory(this.channelFactory::get)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.RECVBUF_ALLOCATOR, ServerConnections.oneBufferAtATime(MAX_READ_BYTES))
			// A failed write would discard a response that was not read yet.
			.option(ChannelOption.AUTO_CLOSE, false)
			.handler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(connection.dataHandler(), new WriteFailureHandler(connection::writeFailed),
								new HttpRequestEncoder(), connection.decoder(), connection);
				}

			});
	}

	private void recordAnnouncements(BackendInstance server, HttpResponse response) {
		String sender = this.protocol.instanceId(response.headers());
		if (this.protocol.isReplaced(response.status().code(), response.headers())
				|| sender != null && !sender.equals(server.id().value())) {
			// The address belongs to another server now.
			return;
		}
		long pauseMs = this.protocol.pauseMs(response.status().code(), response.headers());
		if (pauseMs > 0) {
			this.announcements.recordPause(server, pauseMs);
			this.metrics.countPause(server.service().value());
			LOGGER.info("{}", LogLine.event("server.paused").with("server", server.id()).with("pauseMs", pauseMs));
		}
		if (this.protocol.isLeaving(response.headers()) && this.announcements.recordLeaving(server)) {
			this.metrics.countLeaving(server.service().value());
			LOGGER.info("{}",
					LogLine.event("server.leaving")
						.with("server", server.id())
						.with("startedAt", server.startedAtEpochMs()));
			closeIdle(server.id());
			this.leavingListener.accept(server);
		}
	}

	private void closeIdle(ServerName server) {
		ArrayDeque<BackendConnection> idleConnections = this.idle.remove(server);
		if (idleConnections != null) {
			idleConnections.forEach((connection) -> connection.channel().close());
		}
	}

	private @Nullable BackendConnection takeIdle(BackendInstance server, long maxIdleMs) {
		ArrayDeque<BackendConnection> idleConnections = this.idle.get(server.id());
		long now = this.clock.millis();
		while (idleConnections != null && !idleConnections.isEmpty()) {
			BackendConnection connection = idleConnections.removeLast();
			boolean sameRun = connection.server().startedAtEpochMs() == server.startedAtEpochMs();
			if (sameRun && connection.isUsable()
					&& connection.idleMs(now) < Math.min(maxIdleMs, connection.idleLimitMs())) {
				return connection;
			}
			connection.channel().close();
		}
		return null;
	}

	private void addIdle(ServerName server, BackendConnection connection) {
		if (this.announcements.isLeaving(connection.server())) {
			connection.channel().close();
			return;
		}
		connection.markIdle(this.clock.millis());
		ArrayDeque<BackendConnection> idleConnections = this.idle.computeIfAbsent(server, (name) -> new ArrayDeque<>());
		idleConnections.addLast(connection);
		if (idleConnections.size() > MAX_IDLE_PER_SERVER) {
			idleConnections.removeFirst().channel().close();
		}
	}

	/**
	 * Closes connections that have been idle too long or whose server is no longer known
	 * or leaving.
	 * @param knownServers the servers whose connections are kept
	 */
	public void evictIdle(Set<ServerName> knownServers) {
		long now = this.clock.millis();
		for (Iterator<Map.Entry<ServerName, ArrayDeque<BackendConnection>>> it = this.idle.entrySet().iterator(); it
			.hasNext();) {
			Map.Entry<ServerName, ArrayDeque<BackendConnection>> entry = it.next();
			boolean gone = !knownServers.contains(entry.getKey());
			entry.getValue().removeIf((connection) -> {
				boolean stale = gone || !connection.isUsable() || connection.idleMs(now) > connection.idleLimitMs()
						|| this.announcements.isLeaving(connection.server());
				if (stale) {
					connection.channel().close();
				}
				return stale;
			});
			if (entry.getValue().isEmpty()) {
				it.remove();
			}
		}
	}

}
