package org.lovagevale.standins.http;

import java.nio.charset.StandardCharsets;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Adds JSON endpoints through which tests control a stand-in and read its statistics.
 *
 * <p>
 * Adding endpoints is not thread-safe.
 */
public final class ControlEndpoints {

	private static final int BAD_REQUEST = 400;

	private final HttpServerRoutes routes;

	/**
	 * Creates an instance that adds endpoints to the routes of a server.
	 * @param routes the routes to extend
	 */
	public ControlEndpoints(HttpServerRoutes routes) {
		this.routes = routes;
	}

	/**
	 * Adds a GET endpoint.
	 * @param path the path
	 * @param reader receives the query and returns the value to write as JSON
	 * @return this instance
	 */
	public ControlEndpoints get(String path, Function<QueryStringDecoder, Object> reader) {
		this.routes.get(path, (request, response) -> answer(response,
				Mono.fromCallable(() -> reader.apply(new QueryStringDecoder(request.uri())))));
		return this;
	}

	/**
	 * Adds a POST endpoint with a JSON body.
	 * @param path the path
	 * @param action receives the body and returns the value to write as JSON
	 * @return this instance
	 */
	public ControlEndpoints post(String path, Function<JsonNode, Object> action) {
		return postText(path, (text) -> action.apply(Json.read(text)));
	}

	/**
	 * Adds a POST endpoint with a text body.
	 * @param path the path
	 * @param action receives the body and returns the value to write as JSON
	 * @return this instance
	 */
	public ControlEndpoints postText(String path, Function<String, Object> action) {
		this.routes.post(path, (request, response) -> answer(response, text(request).map(action)));
		return this;
	}

	private static Mono<String> text(HttpServerRequest request) {
		return request.receive().aggregate().asString(StandardCharsets.UTF_8).defaultIfEmpty("");
	}

	private static Publisher<Void> answer(HttpServerResponse response, Mono<Object> value) {
		return value.map(Json::write)
			.onErrorResume(IllegalArgumentException.class, (ex) -> Mono.just(Json.write(toError(response, ex))))
			.flatMap((json) -> response.header("Content-Type", "application/json")
				.sendString(Mono.just(json + "\n"))
				.then());
	}

	private static ErrorBody toError(HttpServerResponse response, IllegalArgumentException cause) {
		response.status(BAD_REQUEST);
		return new ErrorBody(String.valueOf(cause.getMessage()));
	}

	/**
	 * The response to an invalid command.
	 *
	 * @param error the error message
	 */
	private record ErrorBody(String error) {
	}

}
