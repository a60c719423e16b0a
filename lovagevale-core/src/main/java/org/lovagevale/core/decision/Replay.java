package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;
import org.lovagevale.core.StoredAnswer;

/**
 * Send a stored response to the caller.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param answer the stored response
 */
public record Replay(RequestId id, StoredAnswer answer) implements Decision {
}
