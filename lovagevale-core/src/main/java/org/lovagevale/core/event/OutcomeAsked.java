package org.lovagevale.core.event;

import org.lovagevale.core.RequestId;

/**
 * A caller asked for the outcome of an idempotency key.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request for the outcome
 * @param key the key as received
 */
public record OutcomeAsked(RequestId id, String key) implements Event {
}
