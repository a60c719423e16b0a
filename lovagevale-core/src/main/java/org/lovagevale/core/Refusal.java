package org.lovagevale.core;

/**
 * An answer made by the entry process itself.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param reason why
 * @param outcome what is known about execution
 * @param retryAfterMs time after which a new try may succeed in milliseconds, 0 if not
 * given
 * @param message one sentence for people, saying what to do
 */
public record Refusal(RefusalReason reason, Outcome outcome, long retryAfterMs, String message) {
}
