package org.lovagevale.core.event;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.RequestId;

/**
 * The head of a response arrived from a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from 1
 * @param status the HTTP status
 * @param notRun whether the server reports that the request did not run
 * @param report the load of the server, or null if it reported none
 */
public record AnswerHeadArrived(RequestId id, int attempt, int status, boolean notRun,
		@Nullable LoadReport report) implements Event {
}
