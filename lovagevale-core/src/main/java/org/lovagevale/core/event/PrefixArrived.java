package org.lovagevale.core.event;

import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.RequestId;

/**
 * The first bytes of the body of a request arrived.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param fingerprint the fingerprint computed from the head and the prefix
 */
public record PrefixArrived(RequestId id, Fingerprint fingerprint) implements Event {
}
