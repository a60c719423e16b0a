package org.lovagevale.core.decision;

import org.lovagevale.core.Outcome;
import org.lovagevale.core.RequestId;

/**
 * Answer a caller that asked for the outcome of an idempotency key.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request for the outcome
 * @param outcome the outcome
 * @param message a human-readable explanation in one sentence
 */
public record AnswerOutcome(RequestId id, Outcome outcome, String message) implements Decision {
}
