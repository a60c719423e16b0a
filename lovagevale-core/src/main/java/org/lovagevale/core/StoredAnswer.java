package org.lovagevale.core;

/**
 * An answer kept for replay to a caller that sends the same idempotency key again.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param contentType the content type, empty if none
 * @param body the whole body; not to be modified
 */
public record StoredAnswer(int status, String contentType, byte[] body) {
}
