package org.lovagevale.core.message;

/**
 * Reports a crash or a trial of a request immediately, without waiting for the next
 * digest.
 *
 * <p>
 * The strikes and the trial are only those of the sender, so that receivers can add up
 * the strikes of several senders. A {@code Digest} carries the strikes of all processes.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the notice, unique among those of the sender
 * @param suspect the suspect request
 */
public record SuspectNotice(long id, SuspectEntry suspect) implements PeerMessage {
}
