package org.lovagevale.bench;

import reactor.core.publisher.Mono;

/**
 * A client that sends reads directly to servers chosen by a rule.
 *
 * <p>
 * Thread-safe.
 */
final class RuleClient {

	private final LoadClient client;

	private final Rule rule;

	private final int[] inFlight;

	RuleClient(LoadClient client, Rule rule, int servers) {
		this.client = client;
		this.rule = rule;
		this.inFlight = new int[servers];
	}

	Mono<Boolean> send(String path) {
		return Mono.defer(() -> {
			int server = begin();
			return this.client.read(Layout.serverPort(server), path).doFinally((signal) -> end(server));
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
