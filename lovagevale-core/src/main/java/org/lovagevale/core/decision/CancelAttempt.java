package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;

/**
 * Close the connection of an attempt.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request
 * @param attempt the attempt
 */
public record CancelAttempt(RequestId id, int attempt) implements Decision {
}
