package org.lovagevale.core.decision;

import org.lovagevale.core.Outcome;
import org.lovagevale.core.RequestId;

/**
 * Answer a question for the outcome of a key.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id identifies the question
 * @param outcome the outcome
 * @param message one sentence for people
 */
public record AnswerOutcome(RequestId id, Outcome outcome, String message) implements Decision {
}
