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
 * A question of a caller for addresses or for the outcome of a key.
 *
 * <p>
 * Runs on the event loop of the caller's connection.
 */
final class Question {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	/** Longest wait for the decision logic, which may have to ask a peer. */
	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private final RequestId id;

	private final HttpMethod method;

	private final HttpServerResponse out;

	private final Sinks.One<Mono<Void>> answer = Sinks.one();

	Question(RequestId id, HttpMethod method, HttpServerResponse out) {
		this.id = id;
		this.method = method;
		this.out = out;
	}

	/**
	 * Asks the decision logic.
	 * @param event the question
	 * @param engine the decision logic
	 * @param loop the event loop of the caller's connection
	 * @return completes when the response is complete
	 */
	Mono<Void> ask(Event event, Engine engine, EventLoop loop) {
		engine.open(this.id, loop, this::carryOut);
		engine.apply(event);
		return this.answer.asMono()
			.timeout(TIMEOUT, Mono.fromSupplier(this::unanswered))
			.flatMap(Function.identity())
			.doFinally((signal) -> engine.close(this.id));
	}

	private void carryOut(Decision decision) {
		switch (decision) {
			case AnswerAddresses d -> reply(addresses(d));
			case AnswerOutcome d -> {
				this.out.header(HeaderNames.OUTCOME, d.outcome().toHeader());
				reply(Answers.newObject().put("outcome", d.outcome().toHeader()).put("message", d.message()));
			}
			default -> throw new IllegalStateException("not an answer to a question: " + decision);
		}
	}

	private Mono<Void> unanswered() {
		return Answers.problem(this.out, this.method, UNAVAILABLE, "no-answer", "unknown", "Try again later.");
	}

	private void reply(JsonNode body) {
		this.answer.tryEmitValue(Answers.json(this.out, this.method, OK, body));
	}

	private static JsonNode addresses(AnswerAddresses d) {
		ObjectNode result = Answers.newObject();
		ArrayNode list = result.putArray("addresses");
		d.addresses().forEach((address) -> list.add(address(address)));
		return result.put("validForMs", d.validForMs()).put("settingsVersion", d.settingsVersion());
	}

	private static ObjectNode address(CallerAddress address) {
		EntryVm vm = address.vm();
		return Answers.newObject()
			.put("vm", vm.name().value())
			.put("address", vm.host())
			.put("port", vm.callerPort())
			.put("region", vm.region().value())
			.put("domain", vm.domain().value())
			.put("keyPrefix", address.keyPrefix());
	}

}
