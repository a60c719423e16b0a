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
 * Adds JSON endpoints through which tests control a stand-in and read its statistics. A
 * request for which a handler throws an {@link IllegalArgumentException} receives status
 * 400.
 *
 * <p>
 * Adding endpoints is not thread-safe.
 */
public final class ControlEndpoints {

	private static final int BAD_REQUEST = 400;

	private final HttpServerRoutes routes;

	/**
	 * Creates an instance that adds endpoints to a server.
	 * @param routes the routes of the server
	 */
	public ControlEndpoints(HttpServerRoutes routes) {
		this.routes = routes;
	}

	/**
	 * Adds a GET endpoint.
	 * @param path the path
	 * @param handler returns the value to write as JSON, given the query
	 * @return this instance
	 */
	public ControlEndpoints get(String path, Function<QueryStringDecoder, Object> handler) {
		this.routes.get(path, (request, response) -> respond(response,
				Mono.fromCallable(() -> handler.apply(new QueryStringDecoder(request.uri())))));
		return this;
	}

	/**
	 * Adds a POST endpoint with a JSON body.
	 * @param path the path
	 * @param handler returns the value to write as JSON, given the body
	 * @return this instance
	 */
	public ControlEndpoints post(String path, Function<JsonNode, Object> handler) {
		return postText(path, (text) -> handler.apply(Json.read(text)));
	}

	/**
	 * Adds a POST endpoint with a text body.
	 * @param path the path
	 * @param handler returns the value to write as JSON, given the body
	 * @return this instance
	 */
	public ControlEndpoints postText(String path, Function<String, Object> handler) {
		this.routes.post(path, (request, response) -> respond(response, readText(request).map(handler)));
		return this;
	}

	private static Mono<String> readText(HttpServerRequest request) {
		return request.receive().aggregate().asString(StandardCharsets.UTF_8).defaultIfEmpty("");
	}

	private static Publisher<Void> respond(HttpServerResponse response, Mono<Object> value) {
		return value.map(Json::write)
			.onErrorResume(IllegalArgumentException.class, (ex) -> Mono.just(Json.write(setBadRequest(response, ex))))
			.flatMap((json) -> response.header("Content-Type", "application/json")
				.sendString(Mono.just(json + "\n"))
				.then());
	}

	private static ErrorBody setBadRequest(HttpServerResponse response, IllegalArgumentException cause) {
		response.status(BAD_REQUEST);
		return new ErrorBody(String.valueOf(cause.getMessage()));
	}

	/**
	 * The response body for an invalid request.
	 *
	 * @param error the error message
	 */
	private record ErrorBody(String error) {
	}

}
