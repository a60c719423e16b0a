package org.lovagevale.core.decision;

import org.lovagevale.base.VmName;
import org.lovagevale.core.message.PeerMessage;

/**
 * Send a message to a peer, opening a link if none exists.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param to the VM of the peer
 * @param message the message
 */
public record SendToPeer(VmName to, PeerMessage message) implements Decision {
}
