package org.lovagevale.core;

/**
 * A response that the entry process itself generates instead of forwarding the request.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param reason the reason for the refusal
 * @param outcome what is known about the execution of the request
 * @param retryAfterMs the time after which a retry may succeed in milliseconds, 0 if not
 * given
 * @param message a human-readable sentence that says what to do
 */
public record Refusal(RefusalReason reason, Outcome outcome, long retryAfterMs, String message) {
}
