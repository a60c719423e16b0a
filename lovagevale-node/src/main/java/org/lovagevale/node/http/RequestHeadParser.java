package org.lovagevale.node.http;

import java.net.URI;
import java.net.URISyntaxException;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.core.RequestHead;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Parses the head of a request.
 *
 * <p>
 * Thread-safe.
 */
final class RequestHeadParser {

	/** Largest timeout of a caller in milliseconds; a larger one is reduced to it. */
	private static final long MAX_TIMEOUT_MS = 86_400_000;

	private static final int MAX_HEADERS = 100;

	private RequestHeadParser() {
	}

	/**
	 * Parses the head of a request.
	 * @param request the request
	 * @param callerAddress the IP address of the caller
	 * @return the head
	 * @throws MalformedRequestException if the head is malformed
	 */
	static RequestHead read(HttpServerRequest request, String callerAddress) throws MalformedRequestException {
		HttpHeaders headers = request.requestHeaders();
		if (headers.size() > MAX_HEADERS) {
			throw new MalformedRequestException("Send at most " + MAX_HEADERS + " headers.");
		}
		int hosts = headers.getAll(HttpHeaderNames.HOST).size();
		if (hosts > 1 || hosts == 0 && request.version().equals(HttpVersion.HTTP_1_1)) {
			throw new MalformedRequestException("Send one Host header instead of " + hosts + ".");
		}
		String target = targetOf(request.uri());
		int mark = target.indexOf('?');
		String path = (mark < 0) ? target : target.substring(0, mark);
		String query = (mark < 0) ? "" : target.substring(mark + 1);
		return new RequestHead(request.method().name(), path, query, accountOf(headers), headers.get(HeaderNames.KEY),
				timeoutOf(headers), "1".equals(headers.get(HeaderNames.RETRIED)), lengthOf(headers), callerAddress);
	}

	// The request target may have the absolute form, "GET http://host/path".
	private static String targetOf(String uri) throws MalformedRequestException {
		try {
			URI parsed = new URI(uri);
			String path = parsed.getRawPath();
			if (path == null || !path.startsWith("/")) {
				throw new MalformedRequestException("Send a request target that starts with a slash.");
			}
			return (parsed.getRawQuery() != null) ? path + "?" + parsed.getRawQuery() : path;
		}
		catch (URISyntaxException ex) {
			throw new MalformedRequestException("Percent-encode the characters that RFC 3986 does not allow.");
		}
	}

	private static @Nullable AccountName accountOf(HttpHeaders headers) throws MalformedRequestException {
		String text = headers.get(HeaderNames.ACCOUNT);
		try {
			return (text != null) ? new AccountName(text) : null;
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedRequestException("Send a valid account name in " + HeaderNames.ACCOUNT + ".");
		}
	}

	private static long timeoutOf(HttpHeaders headers) throws MalformedRequestException {
		String text = headers.get(HeaderNames.TIMEOUT_MS);
		if (text == null) {
			return 0;
		}
		long timeout = parse(text);
		if (timeout <= 0) {
			throw new MalformedRequestException("Send a positive number in " + HeaderNames.TIMEOUT_MS + ".");
		}
		return Math.min(timeout, MAX_TIMEOUT_MS);
	}

	// Returns -1 if the length is not known in advance.
	private static long lengthOf(HttpHeaders headers) throws MalformedRequestException {
		if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			return -1;
		}
		String text = headers.get(HttpHeaderNames.CONTENT_LENGTH);
		long length = (text != null) ? parse(text) : 0;
		if (length < 0) {
			throw new MalformedRequestException("Send the number of bytes of the body in Content-Length.");
		}
		return length;
	}

	// Returns -1, which is rejected as out of range, if the text is not a number.
	private static long parse(String text) {
		try {
			return Long.parseLong(text.trim());
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

}
