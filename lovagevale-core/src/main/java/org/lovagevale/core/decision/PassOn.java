package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;

/**
 * Pass the answer of an attempt on to the caller.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request
 * @param attempt the attempt
 * @param maxStoredBytes keep the body for replay if it is at most this long, 0 to keep
 * nothing
 */
public record PassOn(RequestId id, int attempt, int maxStoredBytes) implements Decision {
}
