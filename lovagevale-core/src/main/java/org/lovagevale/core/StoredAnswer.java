package org.lovagevale.core;

/**
 * An answer stored for replay to a caller that repeats an idempotency key.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param contentType the content type, empty if none
 * @param body the whole body, which must not be modified
 */
public record StoredAnswer(int status, String contentType, byte[] body) {
}
