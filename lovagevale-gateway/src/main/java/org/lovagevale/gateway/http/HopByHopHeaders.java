package org.lovagevale.gateway.http;

import java.util.Arrays;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;

/**
 * Copies headers without the hop-by-hop headers, which apply to a single connection.
 *
 * <p>
 * Thread-safe.
 */
public final class HopByHopHeaders {

	/** Connection headers of RFC 9110, section 7.6.1, and headers that each hop sets. */
	private static final Set<String> HOP_BY_HOP_NAMES = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade");

	private HopByHopHeaders() {
	}

	/**
	 * Copies all headers except the hop-by-hop headers and those excluded.
	 * @param received the received headers
	 * @param isExcluded tells whether a header, given by its name in lower case, is also
	 * left out
	 * @return the copy
	 */
	public static HttpHeaders copyWithout(HttpHeaders received, Predicate<String> isExcluded) {
		Set<String> namedByConnection = namedByConnection(received);
		HttpHeaders result = new DefaultHttpHeaders();
		Iterator<Map.Entry<CharSequence, CharSequence>> headers = received.iteratorCharSequence();
		while (headers.hasNext()) {
			Map.Entry<CharSequence, CharSequence> header = headers.next();
			String name = toText(header.getKey()).toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP_NAMES.contains(name) && !namedByConnection.contains(name) && !isExcluded.test(name)) {
				result.add(header.getKey(), header.getValue());
			}
		}
		return result;
	}

	// A decoded name keeps the string that its method toString() returns, of 48 bytes and
	// more, for as long as the received headers are held.
	private static String toText(CharSequence name) {
		return (name instanceof AsciiString ascii) ? ascii.toString(0, ascii.length()) : name.toString();
	}

	private static Set<String> namedByConnection(HttpHeaders received) {
		if (!received.contains(HttpHeaderNames.CONNECTION)) {
			return Set.of();
		}
		return received.getAll(HttpHeaderNames.CONNECTION)
			.stream()
			.flatMap((value) -> Arrays.stream(value.split(",")))
			.map((token) -> token.trim().toLowerCase(Locale.ROOT))
			// Required for the framing and routing of the message; a caller must not be
			// able to remove them.
			.filter((token) -> !token.equals("content-length") && !token.equals("host"))
			.collect(Collectors.toSet());
	}

}
