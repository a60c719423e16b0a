package org.lovagevale.node.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.StoredAnswer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Writes the responses that the entry process generates itself.
 *
 * <p>
 * Thread-safe.
 */
final class ResponseWriter {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String JSON_TYPE = "application/json";

	private static final long MILLIS_PER_SECOND = 1_000;

	private ResponseWriter() {
	}

	static ObjectNode newObject() {
		return JSON.createObjectNode();
	}

	static Mono<Void> writeRefusal(HttpServerResponse out, HttpMethod method, Refusal refusal) {
		if (refusal.retryAfterMs() > 0) {
			// Retry-After is given in whole seconds.
			out.header(HttpHeaderNames.RETRY_AFTER, String.valueOf(toSecondsRoundedUp(refusal.retryAfterMs())));
		}
		return writeProblem(out, method, refusal.reason().status(), refusal.reason().toHeader(),
				refusal.outcome().toHeader(), refusal.message());
	}

	static Mono<Void> writeProblem(HttpServerResponse out, HttpMethod method, int status, String reason, String outcome,
			String message) {
		out.header(HeaderNames.OUTCOME, outcome).header(HeaderNames.REASON, reason);
		ObjectNode body = newObject().put("reason", reason).put("outcome", outcome).put("message", message);
		return writeJson(out, method, status, body);
	}

	static Mono<Void> writeJson(HttpServerResponse out, HttpMethod method, int status, JsonNode body) {
		return writeBytes(out, method, status, JSON_TYPE, toBytes(body));
	}

	static Mono<Void> writeReplay(HttpServerResponse out, HttpMethod method, StoredAnswer answer) {
		out.header(HeaderNames.OUTCOME, Outcome.RAN.toHeader());
		String type = answer.contentType().isEmpty() ? null : answer.contentType();
		return writeBytes(out, method, answer.status(), type, answer.body());
	}

	private static Mono<Void> writeBytes(HttpServerResponse out, HttpMethod method, int status, @Nullable String type,
			byte[] body) {
		out.status(status);
		if (type != null) {
			out.header(HttpHeaderNames.CONTENT_TYPE, type);
		}
		if (Statuses.isBodyless(method, status)) {
			return out.sendHeaders().then();
		}
		out.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(body.length));
		if (body.length == 0) {
			return out.sendHeaders().then();
		}
		// Sending a Mono would complete the response at once and close the connection
		// before the rest of the request body is drained.
		Flux<ByteBuf> content = Flux.just(Unpooled.wrappedBuffer(body));
		return out.send(content).then();
	}

	private static long toSecondsRoundedUp(long millis) {
		return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
	}

	private static byte[] toBytes(JsonNode body) {
		try {
			return JSON.writeValueAsBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialize a response body to JSON", ex);
		}
	}

}
