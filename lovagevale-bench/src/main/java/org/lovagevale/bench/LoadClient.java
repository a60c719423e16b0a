package org.lovagevale.bench;

import java.util.function.IntFunction;
import java.util.function.IntUnaryOperator;

import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends small reads over pooled connections.
 *
 * <p>
 * Thread-safe.
 */
final class LoadClient implements AutoCloseable {

	private static final int CONNECTIONS = 200;

	private static final int WAITING = 10_000;

	private static final int OK = 200;

	private final ConnectionProvider pool = ConnectionProvider.builder("bench")
		.maxConnections(CONNECTIONS)
		.pendingAcquireMaxCount(WAITING)
		.build();

	private final HttpClient client = HttpClient.create(this.pool)
		.disableRetry(true)
		.headers((headers) -> headers.set("Lovagevale-Timeout-Ms", "5000"));

	/**
	 * Sends a read.
	 * @param port the port on the loopback address
	 * @param path the path
	 * @return whether it was answered completely with 200
	 */
	Mono<Boolean> read(int port, String path) {
		return this.client.get()
			.uri("http://127.0.0.1:" + port + path)
			.response((response, body) -> body.then(Mono.just(response.status().code() == OK)))
			.single();
	}

	/**
	 * Returns a sender that spreads reads over ports.
	 * @param port chooses the port by the number of the request
	 * @param path the path
	 * @return the sender
	 */
	IntFunction<Mono<Boolean>> spread(IntUnaryOperator port, String path) {
		return (i) -> read(port.applyAsInt(i), path);
	}

	@Override
	public void close() {
		this.pool.dispose();
	}

}
