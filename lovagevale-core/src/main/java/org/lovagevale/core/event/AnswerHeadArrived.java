package org.lovagevale.core.event;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.RequestId;

/**
 * The head of an answer of a backend server arrived.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request
 * @param attempt the attempt, counted from 1
 * @param status the HTTP status
 * @param notRun whether the server says that the request did not run
 * @param report its load, or null if it gave none
 */
public record AnswerHeadArrived(RequestId id, int attempt, int status, boolean notRun,
		@Nullable LoadReport report) implements Event {
}
