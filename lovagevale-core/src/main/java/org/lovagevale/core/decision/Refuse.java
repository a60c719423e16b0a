package org.lovagevale.core.decision;

import org.lovagevale.core.Refusal;
import org.lovagevale.core.RequestId;

/**
 * Answer the caller with a refusal.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request
 * @param refusal the answer
 */
public record Refuse(RequestId id, Refusal refusal) implements Decision {
}
