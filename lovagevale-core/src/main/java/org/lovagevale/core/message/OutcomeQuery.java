package org.lovagevale.core.message;

import java.util.List;

/**
 * Asks the owner of an idempotency key for its outcome; an unseen key becomes final as
 * not run.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id identifies the query for its sender
 * @param key the key
 * @param regions the home regions of the request, empty for all
 */
public record OutcomeQuery(long id, String key, List<String> regions) implements PeerMessage {
}
