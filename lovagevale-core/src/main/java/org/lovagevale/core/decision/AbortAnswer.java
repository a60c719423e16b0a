package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;

/**
 * Close the connection to the caller because the response cannot be completed.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 */
public record AbortAnswer(RequestId id) implements Decision {
}
