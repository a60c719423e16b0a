package org.lovagevale.core.event;

import org.lovagevale.core.FailureKind;
import org.lovagevale.core.RequestId;

/**
 * An attempt to run a request on a backend server failed.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from 1
 * @param kind how the attempt failed
 */
public record AttemptFailed(RequestId id, int attempt, FailureKind kind) implements Event {
}
