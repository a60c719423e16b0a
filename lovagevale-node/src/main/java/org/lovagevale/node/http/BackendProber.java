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
 * Sends health probes to backend servers.
 *
 * <p>
 * Thread-safe.
 */
public final class BackendProber {

	private static final String HEALTH_PATH = "/health";

	/** The report of a healthy server that sends no load header. */
	private static final LoadReport EMPTY_REPORT = new LoadReport(0, 0, ServerState.UNKNOWN, "");

	private final BackendHttpClients backendClients;

	/**
	 * Creates a prober.
	 * @param backendClients the HTTP clients for the servers
	 */
	public BackendProber(BackendHttpClients backendClients) {
		this.backendClients = backendClients;
	}

	/**
	 * Sends a probe and reports the result to the decision logic.
	 * @param probe the server to probe and the timeout
	 * @param engine the engine that receives the result
	 */
	public void probe(Probe probe, Engine engine) {
		this.backendClients.client(probe.server())
			.get()
			.uri(HEALTH_PATH)
			.response()
			.timeout(Duration.ofMillis(probe.timeoutMs()))
			.subscribe((response) -> engine.apply(new ProbeEnded(probe.server().name(), reportOf(response))),
					(error) -> engine.apply(new ProbeEnded(probe.server().name(), null)));
	}

	private static @Nullable LoadReport reportOf(HttpClientResponse response) {
		String header = response.responseHeaders().get(HeaderNames.LOAD);
		if (header != null) {
			return LoadReportParser.parse(header);
		}
		boolean isSuccess = HttpStatusClass.valueOf(response.status().code()) == HttpStatusClass.SUCCESS;
		return isSuccess ? EMPTY_REPORT : null;
	}

}
