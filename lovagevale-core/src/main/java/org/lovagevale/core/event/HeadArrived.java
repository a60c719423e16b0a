package org.lovagevale.core.event;

import org.lovagevale.core.RequestHead;
import org.lovagevale.core.RequestId;

/**
 * The head of a request arrived.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request
 * @param head its head
 */
public record HeadArrived(RequestId id, RequestHead head) implements Event {
}
