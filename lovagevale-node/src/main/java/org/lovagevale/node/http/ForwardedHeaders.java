package org.lovagevale.node.http;

import java.util.Locale;

import io.netty.handler.codec.http.HttpHeaders;
import org.lovagevale.gateway.http.HopByHopHeaders;

/**
 * Selects the headers that an entry process forwards.
 *
 * <p>
 * Thread-safe.
 */
final class ForwardedHeaders {

	// The entry process handles "Expect: 100-continue" itself and already receives the
	// body.
	private static final String EXPECT = "expect";

	private static final String ACCOUNT = HeaderNames.ACCOUNT.toLowerCase(Locale.ROOT);

	private ForwardedHeaders() {
	}

	/**
	 * Returns the request headers to send to a backend server.
	 * @param received the headers received from the caller
	 * @return a copy without connection headers and without this system's own headers,
	 * except the client account
	 */
	static HttpHeaders toServer(HttpHeaders received) {
		HttpHeaders result = copy(received, true);
		result.remove(EXPECT);
		return result;
	}

	/**
	 * Returns the response headers to send to a caller.
	 * @param received the headers received from the backend server
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
