package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;

/**
 * Cancel an attempt by closing its connection to the backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from 1
 */
public record CancelAttempt(RequestId id, int attempt) implements Decision {
}
