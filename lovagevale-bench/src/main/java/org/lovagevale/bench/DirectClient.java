package org.lovagevale.bench;

import reactor.core.publisher.Mono;

/**
 * A client that sends GET requests directly to the servers chosen by a balancing rule.
 *
 * <p>
 * Thread-safe.
 */
final class DirectClient {

	private final LoadClient client;

	private final BalancingAlgorithm rule;

	private final int[] inFlight;

	DirectClient(LoadClient client, BalancingAlgorithm rule, int servers) {
		this.client = client;
		this.rule = rule;
		this.inFlight = new int[servers];
	}

	Mono<Boolean> send(String path) {
		return Mono.defer(() -> {
			int server = begin();
			return this.client.read(BenchDeployment.serverPort(server), path).doFinally((signal) -> end(server));
		});
	}

	private synchronized int begin() {
		int server = this.rule.choose(this.inFlight);
		this.inFlight[server]++;
		return server;
	}

	private synchronized void end(int server) {
		this.inFlight[server]--;
	}

}
