package org.lovagevale.core.event;

import org.lovagevale.core.FailureKind;
import org.lovagevale.core.RequestId;

/**
 * An attempt failed.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request
 * @param attempt the attempt, counted from 1
 * @param kind how it failed
 */
public record AttemptFailed(RequestId id, int attempt, FailureKind kind) implements Event {
}
