package org.lovagevale.core.message;

/**
 * Answers an {@code OutcomeQuery}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the query
 * @param key the idempotency key
 * @param outcome the name of the {@code Outcome}
 */
public record OutcomeAnswer(long id, String key, String outcome) implements PeerMessage {
}
