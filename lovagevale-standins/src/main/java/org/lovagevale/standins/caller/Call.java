package org.lovagevale.standins.caller;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.lovagevale.standins.http.GeneratedBody;
import reactor.core.publisher.Flux;

/**
 * A request that a caller wants to be answered.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param method the method
 * @param path the path with query
 * @param headers further headers
 * @param text the body, unless it is generated; empty for none
 * @param generated the generated body, of length 0 for none
 * @param keyed whether it carries an idempotency key
 * @param timeoutMs the time for the whole call with all resends, in milliseconds
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
	 * Returns a read.
	 * @param path the path with query
	 * @return the call
	 */
	public static Call get(String path) {
		return new Call("GET", path, Map.of(), "", NO_BODY, false, DEFAULT_TIMEOUT_MS);
	}

	/**
	 * Returns a write with an idempotency key.
	 * @param path the path with query
	 * @param text the body
	 * @return the call
	 */
	public static Call post(String path, String text) {
		return new Call("POST", path, Map.of(), text, NO_BODY, true, DEFAULT_TIMEOUT_MS);
	}

	/**
	 * Returns an upload of a generated body.
	 * @param path the path with query
	 * @param body the body
	 * @return the call
	 */
	public static Call put(String path, GeneratedBody body) {
		return new Call("PUT", path, Map.of(), "", body, false, DEFAULT_TIMEOUT_MS);
	}

	/**
	 * Returns this call with another time limit.
	 * @param ms the time for the whole call in milliseconds
	 * @return the call
	 */
	public Call withTimeoutMs(long ms) {
		return new Call(this.method, this.path, this.headers, this.text, this.generated, this.keyed, ms);
	}

	/**
	 * Returns this call with or without an idempotency key.
	 * @param withKey whether it carries one
	 * @return the call
	 */
	public Call withKey(boolean withKey) {
		return new Call(this.method, this.path, this.headers, this.text, this.generated, withKey, this.timeoutMs);
	}

	/**
	 * Returns this call with one more header.
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
