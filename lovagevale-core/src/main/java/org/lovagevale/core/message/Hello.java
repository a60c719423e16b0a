package org.lovagevale.core.message;

/**
 * The first message on a link.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param protocol the version of the peer protocol
 * @param deployment the name of the deployment, empty if not known yet
 * @param vm the name of the VM of the sender
 * @param incarnation the incarnation of the sender
 */
public record Hello(int protocol, String deployment, String vm, String incarnation) implements PeerMessage {
}
