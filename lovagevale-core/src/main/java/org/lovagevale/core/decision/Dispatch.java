package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;
import org.lovagevale.core.SelectionReason;
import org.lovagevale.settings.model.BackendServer;

/**
 * Send a request to a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from 1
 * @param server the backend server
 * @param deadlineEpochMillis the wall-clock time after which the server must not start
 * the request, in milliseconds since the Unix epoch
 * @param timeoutMs the time after which the attempt fails with a timeout, in milliseconds
 * @param retried whether to mark the request as a retry
 * @param selectionReason why this server was selected
 */
public record Dispatch(RequestId id, int attempt, BackendServer server, long deadlineEpochMillis, long timeoutMs,
		boolean retried, SelectionReason selectionReason) implements Decision {
}
