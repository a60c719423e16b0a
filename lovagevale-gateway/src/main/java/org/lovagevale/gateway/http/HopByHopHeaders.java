package org.lovagevale.gateway.http;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Copies headers without those that concern one connection only.
 *
 * <p>
 * Thread-safe.
 */
public final class HopByHopHeaders {

	/** Connection headers of RFC 9110 section 7.6.1 and those that each hop sets. */
	private static final Set<String> HOP_BY_HOP_NAMES = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade");

	private HopByHopHeaders() {
	}

	/**
	 * Copies headers.
	 * @param received the headers received
	 * @param isExcluded tells for a name in lower case whether it is left out too
	 * @return the copy
	 */
	public static HttpHeaders copyWithout(HttpHeaders received, Predicate<String> isExcluded) {
		Set<String> namedByConnection = namedByConnection(received);
		HttpHeaders result = new DefaultHttpHeaders();
		for (Map.Entry<String, String> header : received) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP_NAMES.contains(name) && !namedByConnection.contains(name) && !isExcluded.test(name)) {
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
