package org.lovagevale.node.http;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.netty.channel.ChannelOption;
import org.lovagevale.base.ServerName;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.ServiceSettings;
import org.lovagevale.settings.model.Settings;
import reactor.netty.NettyPipeline;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Provides an HTTP client with a connection pool of its own for each backend server.
 *
 * <p>
 * Invariant: a pool never opens more connections than this VM's share of the server's
 * connection limit. A pool is created with the first request and replaced when the
 * address or the share changes. Thread-safe.
 */
public final class BackendHttpClients {

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	// Idle connections are closed earlier than servers usually close them: a request
	// written to a connection that the server is closing has an unknown outcome.
	private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(4);

	/** Longest wait for a free connection of a pool. */
	private static final Duration MAX_ACQUIRE_WAIT = Duration.ofSeconds(1);

	private static final int MAX_RESPONSE_HEAD_BYTES = 32_768;

	private final LoopResources loops;

	private final Map<ServerName, Pool> pools = new HashMap<>();

	private Map<ServerName, Integer> connectionShares = Map.of();

	/**
	 * Creates an instance without clients.
	 * @param loops the event loops
	 */
	public BackendHttpClients(LoopResources loops) {
		this.loops = loops;
	}

	/**
	 * Adopts the connection limits of new settings and closes the pools of removed
	 * servers.
	 * @param settings the settings in force
	 */
	public synchronized void applySettings(Settings settings) {
		Map<ServerName, Integer> newShares = new HashMap<>();
		int vms = Math.max(1, settings.entryVms().size());
		for (ServiceSettings service : settings.services()) {
			int share = Math.max(1, service.policy().connections() / vms);
			service.servers().forEach((server) -> newShares.put(server.name(), share));
		}
		this.connectionShares = Map.copyOf(newShares);
		this.pools.entrySet().removeIf((entry) -> {
			boolean gone = !newShares.containsKey(entry.getKey());
			if (gone) {
				entry.getValue().close();
			}
			return gone;
		});
	}

	/**
	 * Returns an HTTP client that uses the pool of a server and never retries a request.
	 * @param server the server
	 * @return the client
	 */
	synchronized HttpClient client(BackendServer server) {
		int share = this.connectionShares.getOrDefault(server.name(), 1);
		Pool pool = this.pools.get(server.name());
		if (pool == null || !pool.matches(server, share)) {
			if (pool != null) {
				pool.close();
			}
			pool = newPool(server, share);
			this.pools.put(server.name(), pool);
		}
		return pool.client;
	}

	/**
	 * Closes every pool.
	 */
	public synchronized void close() {
		this.pools.values().forEach(Pool::close);
		this.pools.clear();
	}

	private Pool newPool(BackendServer server, int share) {
		ConnectionProvider provider = ConnectionProvider.builder(server.name().value())
			.maxConnections(share)
			.maxIdleTime(MAX_IDLE_TIME)
			.pendingAcquireTimeout(MAX_ACQUIRE_WAIT)
			.pendingAcquireMaxCount(-1)
			.lifo()
			.build();
		HttpClient client = HttpClient.create(provider)
			.runOn(this.loops)
			.protocol(HttpProtocol.HTTP11)
			.disableRetry(true)
			.compress(false)
			.followRedirect(false)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.doOnChannelInit((observer, channel, address) -> channel.pipeline()
				.replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec,
						new SingleResponseCodec(MAX_RESPONSE_HEAD_BYTES)))
			.headers((headers) -> headers.remove("User-Agent"))
			.baseUrl("http://" + server.host() + ":" + server.port());
		return new Pool(server.host(), server.port(), share, provider, client);
	}

	/**
	 * The pool of one server.
	 *
	 * @param host the IP address
	 * @param port the TCP port
	 * @param share the largest number of connections
	 * @param provider the connection pool
	 * @param client an HTTP client that uses the pool
	 */
	private record Pool(String host, int port, int share, ConnectionProvider provider, HttpClient client) {

		boolean matches(BackendServer server, int share) {
			return this.share == share && this.port == server.port() && this.host.equals(server.host());
		}

		void close() {
			this.provider.disposeLater().subscribe();
		}

	}

}
