package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;
import org.lovagevale.core.StoredAnswer;

/**
 * Answer the caller with a stored answer.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request
 * @param answer the stored answer
 */
public record Replay(RequestId id, StoredAnswer answer) implements Decision {
}
