package org.lovagevale.core.event;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.StoredAnswer;

/**
 * The whole answer of a backend server was passed on.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request
 * @param attempt the attempt, counted from 1
 * @param stored the answer if it was to be kept and is small enough, else null
 */
public record AnswerEnded(RequestId id, int attempt, @Nullable StoredAnswer stored) implements Event {
}
