package org.lovagevale.core.event;

import org.lovagevale.core.RequestHead;
import org.lovagevale.core.RequestId;

/**
 * The head of a request arrived from a caller.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param head the head of the request
 */
public record HeadArrived(RequestId id, RequestHead head) implements Event {
}
