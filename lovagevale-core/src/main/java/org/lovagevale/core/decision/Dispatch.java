package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;
import org.lovagevale.core.SelectionReason;
import org.lovagevale.settings.model.BackendServer;

/**
 * Send the request to a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request
 * @param attempt the attempt, counted from 1
 * @param server the server
 * @param deadlineEpochMillis wall time after which the server must not start it, in
 * milliseconds since the epoch
 * @param timeoutMs time until the attempt is to fail with a timeout, in milliseconds
 * @param retried whether to mark it as a retry
 * @param choice why this server
 */
public record Dispatch(RequestId id, int attempt, BackendServer server, long deadlineEpochMillis, long timeoutMs,
		boolean retried, SelectionReason choice) implements Decision {
}
