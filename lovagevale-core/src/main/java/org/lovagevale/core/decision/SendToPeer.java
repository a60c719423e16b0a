package org.lovagevale.core.decision;

import org.lovagevale.base.VmName;
import org.lovagevale.core.message.PeerMessage;

/**
 * Send a message to a peer; open a link if there is none.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param to the peer
 * @param message the message
 */
public record SendToPeer(VmName to, PeerMessage message) implements Decision {
}
