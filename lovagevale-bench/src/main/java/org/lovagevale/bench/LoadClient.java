package org.lovagevale.bench;

import java.util.function.IntFunction;
import java.util.function.IntUnaryOperator;

import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * An HTTP client that sends GET requests over pooled connections.
 *
 * <p>
 * Thread-safe.
 */
final class LoadClient implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 200;

	private static final int MAX_PENDING_ACQUIRES = 10_000;

	private static final int HTTP_OK = 200;

	private final ConnectionProvider pool = ConnectionProvider.builder("bench")
		.maxConnections(MAX_CONNECTIONS)
		.pendingAcquireMaxCount(MAX_PENDING_ACQUIRES)
		.build();

	private final HttpClient client = HttpClient.create(this.pool)
		.disableRetry(true)
		.headers((headers) -> headers.set("Lovagevale-Timeout-Ms", "5000"));

	/**
	 * Sends a GET request.
	 * @param port the port on the loopback address
	 * @param path the path of the request
	 * @return whether a complete response with status 200 was received
	 */
	Mono<Boolean> get(int port, String path) {
		return this.client.get()
			.uri("http://127.0.0.1:" + port + path)
			.response((response, body) -> body.then(Mono.just(response.status().code() == HTTP_OK)))
			.single();
	}

	/**
	 * Returns a sender that distributes GET requests over ports.
	 * @param port maps the number of a request to the port
	 * @param path the path of the requests
	 * @return the sender, which takes the number of the request
	 */
	IntFunction<Mono<Boolean>> distribute(IntUnaryOperator port, String path) {
		return (i) -> get(port.applyAsInt(i), path);
	}

	@Override
	public void close() {
		this.pool.dispose();
	}

}
