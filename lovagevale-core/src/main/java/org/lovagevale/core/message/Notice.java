package org.lovagevale.core.message;

/**
 * Tells at once of a request that crashed a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id identifies the notice for its sender
 * @param suspect the request
 */
public record Notice(long id, SuspectEntry suspect) implements PeerMessage {
}
