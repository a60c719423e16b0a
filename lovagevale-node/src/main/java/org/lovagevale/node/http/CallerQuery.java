package org.lovagevale.node.http;

import java.time.Duration;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import org.lovagevale.core.CallerAddress;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.decision.AnswerAddresses;
import org.lovagevale.core.decision.AnswerOutcome;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.event.Event;
import org.lovagevale.node.wiring.Engine;
import org.lovagevale.settings.model.EntryVm;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles one query of a caller for addresses or for the outcome of an idempotency key.
 *
 * <p>
 * Confined to the event loop of the caller's connection.
 */
final class CallerQuery {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	/** Longest wait for an answer of the decision logic, which may have to ask a peer. */
	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private final RequestId id;

	private final HttpMethod method;

	private final HttpServerResponse out;

	private final Sinks.One<Mono<Void>> responseSink = Sinks.one();

	CallerQuery(RequestId id, HttpMethod method, HttpServerResponse out) {
		this.id = id;
		this.method = method;
		this.out = out;
	}

	/**
	 * Passes the query to the decision logic and sends its answer.
	 * @param event the query
	 * @param engine the decision logic
	 * @param loop the event loop of the caller's connection
	 * @return a {@code Mono} that completes with the response
	 */
	Mono<Void> run(Event event, Engine engine, EventLoop loop) {
		engine.register(this.id, loop, this::execute);
		engine.apply(event);
		return this.responseSink.asMono()
			.timeout(TIMEOUT, Mono.fromSupplier(this::timedOut))
			.flatMap(Function.identity())
			.doFinally((signal) -> engine.unregister(this.id));
	}

	private void execute(Decision decision) {
		switch (decision) {
			case AnswerAddresses d -> reply(toJson(d));
			case AnswerOutcome d -> {
				this.out.header(HeaderNames.OUTCOME, d.outcome().toHeader());
				reply(ResponseWriter.newObject().put("outcome", d.outcome().toHeader()).put("message", d.message()));
			}
			default -> throw new IllegalStateException("decision does not answer a query: " + decision);
		}
	}

	private Mono<Void> timedOut() {
		return ResponseWriter.writeProblem(this.out, this.method, UNAVAILABLE, "no-answer", "unknown",
				"Try again later.");
	}

	private void reply(JsonNode body) {
		this.responseSink.tryEmitValue(ResponseWriter.writeJson(this.out, this.method, OK, body));
	}

	private static JsonNode toJson(AnswerAddresses d) {
		ObjectNode result = ResponseWriter.newObject();
		ArrayNode list = result.putArray("addresses");
		d.addresses().forEach((address) -> list.add(toJson(address)));
		return result.put("validForMs", d.validForMs()).put("settingsVersion", d.settingsVersion());
	}

	private static ObjectNode toJson(CallerAddress address) {
		EntryVm vm = address.vm();
		return ResponseWriter.newObject()
			.put("vm", vm.name().value())
			.put("address", vm.host())
			.put("port", vm.callerPort())
			.put("region", vm.region().value())
			.put("domain", vm.domain().value())
			.put("keyPrefix", address.keyPrefix());
	}

}
