package org.lovagevale.core.message;

/**
 * Tells at once of a request that crashed a backend server.
 *
 * <p>
 * Strikes and trial are those of the sender alone, so that receivers can add up the
 * strikes of several senders. A {@code Digest} carries the strikes of all processes.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id identifies the notice for its sender
 * @param suspect the request
 */
public record Notice(long id, SuspectEntry suspect) implements PeerMessage {
}
