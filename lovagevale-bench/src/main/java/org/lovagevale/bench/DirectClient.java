package org.lovagevale.bench;

import reactor.core.publisher.Mono;

/**
 * A client that sends GET requests directly to the servers that a load balancing
 * algorithm chooses.
 *
 * <p>
 * Thread-safe.
 */
final class DirectClient {

	private final LoadClient client;

	private final BalancingAlgorithm algorithm;

	private final int[] inFlight;

	DirectClient(LoadClient client, BalancingAlgorithm algorithm, int servers) {
		this.client = client;
		this.algorithm = algorithm;
		this.inFlight = new int[servers];
	}

	Mono<Boolean> send(String path) {
		return Mono.defer(() -> {
			int server = begin();
			return this.client.get(BenchDeployment.serverPort(server), path).doFinally((signal) -> end(server));
		});
	}

	private synchronized int begin() {
		int server = this.algorithm.choose(this.inFlight);
		this.inFlight[server]++;
		return server;
	}

	private synchronized void end(int server) {
		this.inFlight[server]--;
	}

}
