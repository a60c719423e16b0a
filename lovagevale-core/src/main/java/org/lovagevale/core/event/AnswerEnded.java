package org.lovagevale.core.event;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.StoredAnswer;

/**
 * The complete response of a backend server was forwarded to the caller.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from 1
 * @param stored the response if it is to be stored for replay and is small enough, else
 * null
 */
public record AnswerEnded(RequestId id, int attempt, @Nullable StoredAnswer stored) implements Event {
}
