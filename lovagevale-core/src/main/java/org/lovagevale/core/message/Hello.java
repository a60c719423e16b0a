package org.lovagevale.core.message;

/**
 * The first message on a link.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param protocol the version of the protocol
 * @param deployment the deployment, empty if not known yet
 * @param vm the sender
 * @param incarnation its incarnation
 */
public record Hello(int protocol, String deployment, String vm, String incarnation) implements PeerMessage {
}
