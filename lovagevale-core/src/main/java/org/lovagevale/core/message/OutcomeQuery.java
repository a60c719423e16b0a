package org.lovagevale.core.message;

import java.util.List;

/**
 * Queries the outcome of an idempotency key from the process that owns it. The owner
 * marks an unseen key as not run, so that it can never be accepted afterwards.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the query, unique among those of the sender
 * @param key the idempotency key
 * @param regions the home regions of the request, empty for all
 */
public record OutcomeQuery(long id, String key, List<String> regions) implements PeerMessage {
}
