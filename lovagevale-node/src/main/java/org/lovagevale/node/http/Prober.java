package org.lovagevale.node.http;

import java.time.Duration;

import io.netty.handler.codec.http.HttpStatusClass;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.decision.Probe;
import org.lovagevale.core.event.ProbeEnded;
import org.lovagevale.node.wiring.Engine;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Probes backend servers.
 *
 * <p>
 * Thread-safe.
 */
public final class Prober {

	/** The path of a probe. */
	private static final String PATH = "/health";

	/** A server that is well but reports nothing. */
	private static final LoadReport NO_DETAILS = new LoadReport(0, 0, ServerState.UNKNOWN, "");

	private final BackendConnections connections;

	/**
	 * Creates a prober.
	 * @param connections the connections to the servers
	 */
	public Prober(BackendConnections connections) {
		this.connections = connections;
	}

	/**
	 * Sends a probe and reports how it ended.
	 * @param probe the probe
	 * @param engine takes the report
	 */
	public void probe(Probe probe, Engine engine) {
		this.connections.client(probe.server())
			.get()
			.uri(PATH)
			.response()
			.timeout(Duration.ofMillis(probe.timeoutMs()))
			.subscribe((response) -> engine.apply(new ProbeEnded(probe.server().name(), reportOf(response))),
					(error) -> engine.apply(new ProbeEnded(probe.server().name(), null)));
	}

	private static @Nullable LoadReport reportOf(HttpClientResponse response) {
		String header = response.responseHeaders().get(HeaderNames.LOAD);
		if (header != null) {
			return LoadReports.parse(header);
		}
		boolean isWell = HttpStatusClass.valueOf(response.status().code()) == HttpStatusClass.SUCCESS;
		return isWell ? NO_DETAILS : null;
	}

}
