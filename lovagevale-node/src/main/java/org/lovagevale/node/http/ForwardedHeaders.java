package org.lovagevale.node.http;

import java.util.Locale;

import io.netty.handler.codec.http.HttpHeaders;
import org.lovagevale.gateway.http.HopByHopHeaders;

/**
 * Copies the headers that pass through an entry process.
 *
 * <p>
 * Thread-safe.
 */
final class ForwardedHeaders {

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
		return HopByHopHeaders.copyWithout(received,
				(name) -> name.startsWith(HeaderNames.PREFIX) && !(withAccount && name.equals(ACCOUNT)));
	}

}
