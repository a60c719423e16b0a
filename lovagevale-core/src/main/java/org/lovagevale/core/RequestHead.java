package org.lovagevale.core;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;

/**
 * The head of a request from a caller.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param method the HTTP method
 * @param path the path without the query, starting with a slash
 * @param query the query without the question mark, empty if there is none
 * @param account the client account, or null if none was given
 * @param key the idempotency key as received, or null if none was given
 * @param timeoutMs the time that the caller waits in milliseconds, 0 if not given
 * @param retried whether the caller marked this request as a retry
 * @param contentLength the length of the body in bytes, -1 if not known in advance
 * @param callerAddress the IP address of the caller
 */
public record RequestHead(String method, String path, String query, @Nullable AccountName account, @Nullable String key,
		long timeoutMs, boolean retried, long contentLength, String callerAddress) {

	/**
	 * The largest request body, in bytes, that is buffered while it is sent so that it
	 * can be sent again on a further attempt.
	 */
	public static final int MAX_RESENDABLE_BODY_BYTES = 65_536;

	/**
	 * Tells whether the body is known to be small enough to be sent again.
	 * @return {@code false} if the body is larger or its length is not known
	 */
	public boolean hasResendableBody() {
		return this.contentLength >= 0 && this.contentLength <= MAX_RESENDABLE_BODY_BYTES;
	}

}
