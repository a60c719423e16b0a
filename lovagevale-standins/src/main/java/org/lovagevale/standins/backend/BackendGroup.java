package org.lovagevale.standins.backend;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.SystemClock;
import org.lovagevale.standins.http.ControlEndpoints;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * A group of backend server stand-ins that share a run log and a control port.
 *
 * <p>
 * Thread-safe once all servers have been added.
 */
public final class BackendGroup implements AutoCloseable {

	private static final int MAX_LISTED_RUNS = 1_000;

	private final Clock clock = new SystemClock();

	private final Map<String, BackendStandIn> servers = new LinkedHashMap<>();

	private final RunLog runs = new RunLog();

	private @Nullable DisposableServer control;

	/**
	 * Adds a server and starts it.
	 * @param name its name
	 * @param host the address to listen on
	 * @param port the port to listen on, 0 for any
	 * @param behaviour the initial behaviour
	 * @param cold whether the server starts cold
	 * @return the server
	 * @throws IllegalArgumentException if the group already has a server with this name
	 */
	public BackendStandIn add(String name, String host, int port, Behaviour behaviour, boolean cold) {
		BackendStandIn server = new BackendStandIn(name, host, port, behaviour, cold, this.clock, this.runs);
		if (this.servers.putIfAbsent(name, server) != null) {
			throw new IllegalArgumentException("there is already a server named \"" + name + "\"");
		}
		server.start();
		return server;
	}

	/**
	 * Returns the server with a name.
	 * @param name its name
	 * @return the server
	 * @throws IllegalArgumentException if no server has this name
	 */
	public BackendStandIn server(String name) {
		BackendStandIn server = this.servers.get(name);
		if (server == null) {
			throw new IllegalArgumentException("no server named \"" + name + "\"");
		}
		return server;
	}

	/**
	 * Returns all servers.
	 * @return the servers, in the order in which they were added
	 */
	public Collection<BackendStandIn> servers() {
		return List.copyOf(this.servers.values());
	}

	/**
	 * Returns the run log.
	 * @return the log of the runs on all servers of this group
	 */
	public RunLog runs() {
		return this.runs;
	}

	/**
	 * Opens the control port.
	 * @param host the address to listen on
	 * @param port the port to listen on, 0 for any
	 * @return the port in use
	 */
	public int openControl(String host, int port) {
		DisposableServer controlServer = HttpServer.create()
			.bindAddress(() -> new InetSocketAddress(host, port))
			.route(this::addRoutes)
			.bindNow();
		this.control = controlServer;
		return controlServer.port();
	}

	@Override
	public void close() {
		this.servers.values().forEach(BackendStandIn::close);
		if (this.control != null) {
			this.control.dispose();
		}
	}

	private void addRoutes(HttpServerRoutes routes) {
		new ControlEndpoints(routes).get("/control/stats", (query) -> stats())
			.get("/control/runs", this::listRuns)
			.post("/control/set", this::changeBehaviour)
			.post("/control/crash", (body) -> applyToSelected(body, BackendStandIn::crash))
			.post("/control/stop", (body) -> applyToSelected(body, BackendStandIn::stop))
			.post("/control/start", (body) -> applyToSelected(body, (server) -> server.restart(server.port())))
			.post("/control/warm", (body) -> applyToSelected(body, BackendStandIn::endColdStart))
			.post("/control/chill", (body) -> applyToSelected(body, BackendStandIn::makeCold))
			.post("/control/clear", (body) -> clearRuns());
	}

	private GroupStats stats() {
		List<BackendStats> list = new ArrayList<>();
		this.servers.values().forEach((server) -> list.add(server.stats()));
		return new GroupStats(list, this.runs.total(), this.runs.duplicateKeys(), this.runs.duplicateRequests().size());
	}

	private List<Run> listRuns(QueryStringDecoder query) {
		Predicate<Run> filter = (run) -> matches(query, "key", run.key()) && matches(query, "request", run.requestId())
				&& matches(query, "server", run.server());
		List<Run> found = this.runs.find(filter);
		return found.subList(Math.max(0, found.size() - MAX_LISTED_RUNS), found.size());
	}

	// A parameter that is absent from the query matches every value.
	private static boolean matches(QueryStringDecoder query, String parameter, String value) {
		List<String> accepted = query.parameters().get(parameter);
		return accepted == null || accepted.contains(value);
	}

	private GroupStats changeBehaviour(JsonNode body) {
		ObjectNode changes = body.deepCopy();
		changes.remove("server");
		return applyToSelected(body, (server) -> server.change(changes));
	}

	private GroupStats clearRuns() {
		this.runs.clear();
		return stats();
	}

	private GroupStats applyToSelected(JsonNode body, Consumer<BackendStandIn> action) {
		JsonNode name = body.path("server");
		Collection<BackendStandIn> selected = name.isMissingNode() ? servers() : List.of(server(name.asText()));
		selected.forEach(action);
		return stats();
	}

	/**
	 * Statistics of a group, as returned by the control port.
	 *
	 * @param servers the servers
	 * @param runs number of runs on all servers since the start or the last clearing
	 * @param duplicateKeys number of runs of each idempotency key that ran more than once
	 * @param duplicateRequests number of requests that ran more than once
	 */
	public record GroupStats(List<BackendStats> servers, long runs, Map<String, Integer> duplicateKeys,
			int duplicateRequests) {
	}

}
