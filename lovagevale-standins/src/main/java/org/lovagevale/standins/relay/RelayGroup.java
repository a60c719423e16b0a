package org.lovagevale.standins.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import org.lovagevale.standins.http.ControlEndpoints;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * A group of TCP relays that share a control port.
 *
 * <p>
 * Thread-safe once all relays have been added.
 */
public final class RelayGroup implements AutoCloseable {

	private final Map<String, TcpRelay> relays = new LinkedHashMap<>();

	private @Nullable DisposableServer control;

	/**
	 * Adds a relay and starts it.
	 * @param name its name
	 * @param host the address to listen on and to connect to
	 * @param ports the port to listen on and the target port, separated by a colon
	 * @return the relay
	 * @throws IOException if the port cannot be opened
	 */
	public TcpRelay add(String name, String host, String ports) throws IOException {
		String[] parts = ports.split(":", -1);
		if (parts.length != 2) {
			throw new IllegalArgumentException(
					"the ports of a relay must have the form PORT:TARGETPORT: \"" + ports + "\"");
		}
		TcpRelay relay = new TcpRelay(name, new InetSocketAddress(host, Integer.parseInt(parts[1])));
		this.relays.put(name, relay);
		relay.start(host, Integer.parseInt(parts[0]));
		return relay;
	}

	/**
	 * Opens the control port.
	 * @param host the address to listen on
	 * @param port the port, 0 for any
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
		this.relays.values().forEach(TcpRelay::close);
		if (this.control != null) {
			this.control.dispose();
		}
	}

	private void addRoutes(HttpServerRoutes routes) {
		new ControlEndpoints(routes).get("/control/stats", (query) -> stats())
			.post("/control/set", this::changeRules)
			.post("/control/reset", (body) -> applyToSelected(body, TcpRelay::reset));
	}

	private List<TcpRelay.RelayStats> stats() {
		return this.relays.values().stream().map(TcpRelay::stats).toList();
	}

	private Object changeRules(JsonNode body) {
		ObjectNode changes = body.deepCopy();
		changes.remove("relay");
		return applyToSelected(body, (relay) -> relay.change(changes));
	}

	private Object applyToSelected(JsonNode body, Consumer<TcpRelay> action) {
		select(body.path("relay")).forEach(action);
		return stats();
	}

	private Collection<TcpRelay> select(JsonNode name) {
		if (name.isMissingNode()) {
			return this.relays.values();
		}
		TcpRelay relay = this.relays.get(name.asText());
		if (relay == null) {
			throw new IllegalArgumentException("no relay named \"" + name.asText() + "\"");
		}
		return List.of(relay);
	}

}
