package org.lovagevale.gateway.http;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.gateway.GatewayMetrics;
import org.lovagevale.gateway.ServerProtocol;

/**
 * The connections to backend servers, kept for further requests.
 *
 * <p>
 * Confined to the event loop.
 */
public final class BackendConnections {

	/** Time to open a connection within the region, in milliseconds. */
	private static final int CONNECT_MS = 400;

	/**
	 * Time after which unacknowledged bytes break a connection, in milliseconds. Several
	 * retransmissions fit into it.
	 */
	private static final int UNACKNOWLEDGED_MS = 1_500;

	/** Idle connections kept for each server. */
	private static final int MOST_IDLE = 4;

	private final EventLoop loop;

	private final Supplier<Channel> channels;

	private final ServerProtocol protocol;

	private final Clock clock;

	private final GatewayMetrics metrics;

	private final Map<ServerName, ArrayDeque<BackendConnection>> idle = new HashMap<>();

	/**
	 * Creates a pool.
	 * @param loop the event loop
	 * @param channels creates channels
	 * @param protocol reads headers
	 * @param clock the clock
	 * @param metrics counts connections
	 */
	public BackendConnections(EventLoop loop, Supplier<Channel> channels, ServerProtocol protocol, Clock clock,
			GatewayMetrics metrics) {
		this.loop = loop;
		this.channels = channels;
		this.protocol = protocol;
		this.clock = clock;
		this.metrics = metrics;
	}

	/**
	 * Gets a connection.
	 * @param server the server
	 * @param maxIdleMs how long a connection may have been idle, in milliseconds
	 * @param listener takes the connection
	 */
	void acquire(BackendInstance server, long maxIdleMs, BackendListener listener) {
		BackendConnection kept = takeIdle(server.id(), maxIdleMs);
		if (kept != null) {
			listener.connected(kept);
			return;
		}
		BackendResponseDecoder decoder = new BackendResponseDecoder();
		BackendConnection connection = new BackendConnection(this.protocol, decoder,
				(returned) -> keep(server.id(), returned));
		this.metrics.countConnection(server.service().value());
		bootstrap(decoder, connection).connect(server.host(), server.port()).addListener((future) -> {
			if (future.isSuccess()) {
				listener.connected(connection);
			}
			else {
				listener.unreachable(future.cause());
			}
		});
	}

	private Bootstrap bootstrap(BackendResponseDecoder decoder, BackendConnection connection) {
		return new Bootstrap().group(this.loop)
			.channelFactory(this.channels::get)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<>() {

				@Override
				protected void initChannel(Channel channel) {
					if (channel instanceof EpollSocketChannel) {
						channel.config().setOption(EpollChannelOption.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS);
					}
					channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
				}

			});
	}

	private @Nullable BackendConnection takeIdle(ServerName server, long maxIdleMs) {
		ArrayDeque<BackendConnection> kept = this.idle.get(server);
		long now = this.clock.millis();
		while (kept != null && !kept.isEmpty()) {
			BackendConnection connection = kept.removeLast();
			if (connection.isUsable() && connection.idleMs(now) < Math.min(maxIdleMs, connection.idleLimitMs())) {
				return connection;
			}
			connection.channel().close();
		}
		return null;
	}

	private void keep(ServerName server, BackendConnection connection) {
		connection.idleSince(this.clock.millis());
		ArrayDeque<BackendConnection> kept = this.idle.computeIfAbsent(server, (name) -> new ArrayDeque<>());
		kept.addLast(connection);
		if (kept.size() > MOST_IDLE) {
			kept.removeFirst().channel().close();
		}
	}

	/**
	 * Closes connections that have been idle too long or whose server is gone.
	 * @param listed the servers that exist
	 */
	public void sweep(Set<ServerName> listed) {
		long now = this.clock.millis();
		for (Iterator<Map.Entry<ServerName, ArrayDeque<BackendConnection>>> it = this.idle.entrySet().iterator(); it
			.hasNext();) {
			Map.Entry<ServerName, ArrayDeque<BackendConnection>> entry = it.next();
			boolean gone = !listed.contains(entry.getKey());
			entry.getValue().removeIf((connection) -> {
				boolean old = gone || !connection.isUsable() || connection.idleMs(now) > connection.idleLimitMs();
				if (old) {
					connection.channel().close();
				}
				return old;
			});
			if (entry.getValue().isEmpty()) {
				it.remove();
			}
		}
	}

}
