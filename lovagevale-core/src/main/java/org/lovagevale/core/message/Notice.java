package org.lovagevale.core.message;

/**
 * Reports immediately that a request crashed a backend server.
 *
 * <p>
 * The strikes and the trial are only those of the sender, so that receivers can add up
 * the strikes of several senders. A {@code Digest} carries the strikes of all processes.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id identifies the notice among those of the sender
 * @param suspect the suspect request
 */
public record Notice(long id, SuspectEntry suspect) implements PeerMessage {
}
