package org.lovagevale.standins.backend;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import reactor.netty.http.server.HttpServerRequest;

/**
 * The head of a request as a backend server sees it.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param method the method
 * @param uri the path with query
 * @param path the path without query
 * @param key the idempotency key, empty if none
 * @param requestId the request identifier, empty if none
 * @param attempt the attempt, empty if none
 * @param account the client account, empty if none
 * @param deadlineMs the deadline in milliseconds since the epoch, {@link Long#MAX_VALUE}
 * if none
 * @param crashHeader whether a header asks for a crash
 * @param options what the query asks of the stand-in
 */
record BackendRequest(String method, String uri, String path, String key, String requestId, String attempt,
		String account, long deadlineMs, boolean crashHeader, Options options) {

	static final String CRASH_MARKER = "crash-me";

	static BackendRequest read(HttpServerRequest request) {
		HttpHeaders headers = request.requestHeaders();
		QueryStringDecoder query = new QueryStringDecoder(request.uri());
		String deadline = headers.get("Lovagevale-Deadline", "");
		boolean crash = headers.entries().stream().anyMatch((header) -> header.getValue().contains(CRASH_MARKER));
		return new BackendRequest(request.method().name(), request.uri(), query.path(),
				headers.get("Idempotency-Key", ""), headers.get("Lovagevale-Request-Id", ""),
				headers.get("Lovagevale-Attempt", ""), headers.get("Lovagevale-Account", ""),
				deadline.isEmpty() ? Long.MAX_VALUE : Long.parseLong(deadline), crash, Options.read(query));
	}

	/**
	 * What the query asks of the stand-in.
	 *
	 * @param bytes length of a generated answer, -1 for the usual one
	 * @param seed seed of the generated answer
	 * @param cutAfter bytes of a generated answer after which the connection is closed,
	 * -1 for never
	 * @param status the status of the answer
	 * @param serviceMs service time in milliseconds, -1 for the usual one
	 */
	record Options(long bytes, long seed, long cutAfter, int status, long serviceMs) {

		private static final int OK = 200;

		private static Options read(QueryStringDecoder query) {
			return new Options(longParameter(query, "bytes", -1), longParameter(query, "seed", 0),
					longParameter(query, "cutAfter", -1), (int) longParameter(query, "status", OK),
					longParameter(query, "serviceMs", -1));
		}

		private static long longParameter(QueryStringDecoder query, String name, long defaultValue) {
			List<String> values = query.parameters().get(name);
			return (values != null) ? Long.parseLong(values.get(0)) : defaultValue;
		}

	}

}
