package org.lovagevale.node.http;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Copies the headers that pass through an entry process.
 *
 * <p>
 * Thread-safe.
 */
final class ForwardedHeaders {

	/** Connection headers of RFC 9110 section 7.6.1 and those that each hop sets. */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade");

	// Waiting for 100 (Continue) ends at the entry process, which has the body already.
	private static final String EXPECT = "expect";

	private static final String ACCOUNT = HeaderNames.ACCOUNT.toLowerCase(Locale.ROOT);

	private ForwardedHeaders() {
	}

	/**
	 * Returns the headers of a caller that a backend server receives.
	 * @param received the headers received
	 * @return a copy without connection headers and without this system's own headers,
	 * except the client account
	 */
	static HttpHeaders toServer(HttpHeaders received) {
		HttpHeaders result = copy(received, true);
		result.remove(EXPECT);
		return result;
	}

	/**
	 * Returns the headers of a backend server that a caller receives.
	 * @param received the headers received
	 * @return a copy without connection headers and without this system's own headers
	 */
	static HttpHeaders toCaller(HttpHeaders received) {
		return copy(received, false);
	}

	private static HttpHeaders copy(HttpHeaders received, boolean withAccount) {
		Set<String> named = namedByConnection(received);
		HttpHeaders result = new DefaultHttpHeaders();
		for (Map.Entry<String, String> header : received) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			boolean own = name.startsWith(HeaderNames.PREFIX) && !(withAccount && name.equals(ACCOUNT));
			if (!own && !HOP_BY_HOP.contains(name) && !named.contains(name)) {
				result.add(header.getKey(), header.getValue());
			}
		}
		return result;
	}

	private static Set<String> namedByConnection(HttpHeaders received) {
		if (!received.contains(HttpHeaderNames.CONNECTION)) {
			return Set.of();
		}
		return received.getAll(HttpHeaderNames.CONNECTION)
			.stream()
			.flatMap((value) -> Arrays.stream(value.split(",")))
			.map((token) -> token.trim().toLowerCase(Locale.ROOT))
			// These frame the message; a caller must not be able to remove them.
			.filter((token) -> !token.equals("content-length") && !token.equals("host"))
			.collect(Collectors.toSet());
	}

}
