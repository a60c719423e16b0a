package org.lovagevale.standins.caller;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.lovagevale.standins.http.GeneratedBody;
import reactor.core.publisher.Flux;

/**
 * A logical request of a caller. The caller may send it more than once.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param method the HTTP method
 * @param path the path with query
 * @param headers additional headers
 * @param text the text of the body, empty if the body is generated or absent
 * @param generated the generated body, of length 0 if there is none
 * @param keyed whether the request is sent with an idempotency key
 * @param timeoutMs the time limit of the call, including all resends, in milliseconds
 */
public record Call(String method, String path, Map<String, String> headers, String text, GeneratedBody generated,
		boolean keyed, long timeoutMs) {

	private static final long DEFAULT_TIMEOUT_MS = 10_000;

	private static final GeneratedBody NO_BODY = new GeneratedBody(0, 0);

	/**
	 * Copies the map.
	 */
	public Call {
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns a call that sends a GET request without an idempotency key.
	 * @param path the path with query
	 * @return the call
	 */
	public static Call get(String path) {
		return new Call("GET", path, Map.of(), "", NO_BODY, false, DEFAULT_TIMEOUT_MS);
	}

	/**
	 * Returns a call that sends a POST request with an idempotency key.
	 * @param path the path with query
	 * @param text the body
	 * @return the call
	 */
	public static Call post(String path, String text) {
		return new Call("POST", path, Map.of(), text, NO_BODY, true, DEFAULT_TIMEOUT_MS);
	}

	/**
	 * Returns a call that sends a PUT request with a generated body and without an
	 * idempotency key.
	 * @param path the path with query
	 * @param body the body
	 * @return the call
	 */
	public static Call put(String path, GeneratedBody body) {
		return new Call("PUT", path, Map.of(), "", body, false, DEFAULT_TIMEOUT_MS);
	}

	/**
	 * Returns a copy of this call with another time limit.
	 * @param ms the time limit of the call in milliseconds
	 * @return the call
	 */
	public Call withTimeoutMs(long ms) {
		return new Call(this.method, this.path, this.headers, this.text, this.generated, this.keyed, ms);
	}

	/**
	 * Returns a copy of this call with or without an idempotency key.
	 * @param withKey whether the request is sent with a key
	 * @return the call
	 */
	public Call withKey(boolean withKey) {
		return new Call(this.method, this.path, this.headers, this.text, this.generated, withKey, this.timeoutMs);
	}

	/**
	 * Returns a copy of this call with an additional header.
	 * @param name the name of the header
	 * @param value its value
	 * @return the call
	 */
	public Call withHeader(String name, String value) {
		Map<String, String> all = new HashMap<>(this.headers);
		all.put(name, value);
		return new Call(this.method, this.path, all, this.text, this.generated, this.keyed, this.timeoutMs);
	}

	boolean isIdempotent() {
		return switch (this.method) {
			case "GET", "HEAD", "PUT", "DELETE", "OPTIONS" -> true;
			default -> false;
		};
	}

	long length() {
		return this.text.isEmpty() ? this.generated.length() : this.text.getBytes(StandardCharsets.UTF_8).length;
	}

	Flux<ByteBuf> body() {
		if (this.text.isEmpty()) {
			return this.generated.chunks();
		}
		return Flux.defer(() -> Flux.just(Unpooled.copiedBuffer(this.text, StandardCharsets.UTF_8)));
	}

}
