package org.lovagevale.core.event;

import org.lovagevale.core.RequestId;

/**
 * The caller closed its connection before the response was complete.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 */
public record CallerGone(RequestId id) implements Event {
}
