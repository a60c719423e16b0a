package org.lovagevale.core.decision;

import org.lovagevale.core.Refusal;
import org.lovagevale.core.RequestId;

/**
 * Refuse a request and answer the caller.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param refusal the response to the caller
 */
public record Refuse(RequestId id, Refusal refusal) implements Decision {
}
