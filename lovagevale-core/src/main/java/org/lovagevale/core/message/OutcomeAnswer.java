package org.lovagevale.core.message;

/**
 * Answers an {@code OutcomeQuery}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the query
 * @param key the key
 * @param outcome the name of the {@code Outcome}
 */
public record OutcomeAnswer(long id, String key, String outcome) implements PeerMessage {
}
