package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;

/**
 * Forward the response of an attempt to the caller.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from 1
 * @param maxStoredBytes the largest body in bytes to store for replay, 0 to store nothing
 */
public record PassOn(RequestId id, int attempt, int maxStoredBytes) implements Decision {
}
