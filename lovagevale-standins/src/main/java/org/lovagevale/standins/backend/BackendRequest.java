package org.lovagevale.standins.backend;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import reactor.netty.http.server.HttpServerRequest;

/**
 * The head of a request to a backend server stand-in, as parsed from its headers and URI.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param method the HTTP method
 * @param uri the path with query
 * @param path the path without query
 * @param key the idempotency key, empty if none
 * @param requestId the request identifier, empty if none
 * @param attempt the attempt identifier, empty if none
 * @param account the client account, empty if none
 * @param deadlineMs the deadline in milliseconds since the epoch, {@link Long#MAX_VALUE}
 * if none
 * @param crashHeader whether a header value contains {@link #CRASH_MARKER}
 * @param options options of the response, from the query
 */
record BackendRequest(String method, String uri, String path, String key, String requestId, String attempt,
		String account, long deadlineMs, boolean crashHeader, ResponseOptions options) {

	static final String CRASH_MARKER = "crash-me";

	static BackendRequest read(HttpServerRequest request) {
		HttpHeaders headers = request.requestHeaders();
		QueryStringDecoder query = new QueryStringDecoder(request.uri());
		String deadline = headers.get("Lovagevale-Deadline", "");
		boolean crash = headers.entries().stream().anyMatch((header) -> header.getValue().contains(CRASH_MARKER));
		return new BackendRequest(request.method().name(), request.uri(), query.path(),
				headers.get("Idempotency-Key", ""), headers.get("Lovagevale-Request-Id", ""),
				headers.get("Lovagevale-Attempt", ""), headers.get("Lovagevale-Account", ""),
				deadline.isEmpty() ? Long.MAX_VALUE : Long.parseLong(deadline), crash, ResponseOptions.read(query));
	}

	/**
	 * Options of the response, read from the query parameters.
	 *
	 * @param bytes length of the generated response body, -1 for the default JSON body
	 * @param seed seed of the generated response body
	 * @param cutAfter number of bytes of the generated response body after which the
	 * connection is closed, rounded down to whole chunks, -1 for never
	 * @param status the status of the response
	 * @param serviceMs service time in milliseconds, -1 for the time given by the
	 * behaviour
	 */
	record ResponseOptions(long bytes, long seed, long cutAfter, int status, long serviceMs) {

		private static final int OK = 200;

		private static ResponseOptions read(QueryStringDecoder query) {
			return new ResponseOptions(longParameter(query, "bytes", -1), longParameter(query, "seed", 0),
					longParameter(query, "cutAfter", -1), (int) longParameter(query, "status", OK),
					longParameter(query, "serviceMs", -1));
		}

		private static long longParameter(QueryStringDecoder query, String name, long defaultValue) {
			List<String> values = query.parameters().get(name);
			return (values != null) ? Long.parseLong(values.get(0)) : defaultValue;
		}

	}

}
