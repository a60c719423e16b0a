package org.lovagevale.node.http;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.netty.channel.ChannelOption;
import org.lovagevale.base.ServerName;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.ServiceSettings;
import org.lovagevale.settings.model.Settings;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * The connections to backend servers, one pool for each server.
 *
 * <p>
 * Invariant: a pool never opens more than this VM's share of the connections that a
 * server accepts. A pool is created with its first request and replaced when address or
 * share change. Thread-safe.
 */
public final class BackendConnections {

	/** Longest time to open a connection, in milliseconds. */
	private static final int CONNECT_TIMEOUT_MS = 1_000;

	// Shorter than the idle time after which servers usually close a connection, since a
	// request written to a connection that is being closed has an unknown outcome.
	private static final Duration MAX_IDLE = Duration.ofSeconds(4);

	/** Longest wait for a connection of the pool. */
	private static final Duration MAX_PENDING = Duration.ofSeconds(1);

	/** Largest head of a response in bytes. */
	private static final int MAX_HEAD_BYTES = 32_768;

	private final LoopResources loops;

	private final Map<ServerName, Pool> pools = new HashMap<>();

	private Map<ServerName, Integer> shares = Map.of();

	/**
	 * Creates an empty set of pools.
	 * @param loops the event loops
	 */
	public BackendConnections(LoopResources loops) {
		this.loops = loops;
	}

	/**
	 * Uses the sizes of new settings and drops the pools of servers that are gone.
	 * @param settings the settings in force
	 */
	public synchronized void apply(Settings settings) {
		Map<ServerName, Integer> next = new HashMap<>();
		int vms = Math.max(1, settings.entryVms().size());
		for (ServiceSettings service : settings.services()) {
			int share = Math.max(1, service.policy().connections() / vms);
			service.servers().forEach((server) -> next.put(server.name(), share));
		}
		this.shares = Map.copyOf(next);
		this.pools.entrySet().removeIf((entry) -> {
			boolean gone = !next.containsKey(entry.getKey());
			if (gone) {
				entry.getValue().close();
			}
			return gone;
		});
	}

	/**
	 * Returns a client that uses the pool of a server and never repeats a request.
	 * @param server the server
	 * @return the client
	 */
	synchronized HttpClient client(BackendServer server) {
		int share = this.shares.getOrDefault(server.name(), 1);
		Pool pool = this.pools.get(server.name());
		if (pool == null || !pool.isFor(server, share)) {
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
			.maxIdleTime(MAX_IDLE)
			.pendingAcquireTimeout(MAX_PENDING)
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
			.httpResponseDecoder((spec) -> spec.maxHeaderSize(MAX_HEAD_BYTES))
			.headers((headers) -> headers.remove("User-Agent"))
			.baseUrl("http://" + server.host() + ":" + server.port());
		return new Pool(server.host(), server.port(), share, provider, client);
	}

	/**
	 * The pool of one server.
	 *
	 * @param host the IP number
	 * @param port the TCP port
	 * @param share the most connections
	 * @param provider the connections
	 * @param client a client that uses them
	 */
	private record Pool(String host, int port, int share, ConnectionProvider provider, HttpClient client) {

		boolean isFor(BackendServer server, int share) {
			return this.share == share && this.port == server.port() && this.host.equals(server.host());
		}

		void close() {
			this.provider.disposeLater().subscribe();
		}

	}

}
