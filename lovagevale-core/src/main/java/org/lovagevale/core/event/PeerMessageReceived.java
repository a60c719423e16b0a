package org.lovagevale.core.event;

import org.lovagevale.base.VmName;
import org.lovagevale.core.message.PeerMessage;

/**
 * A message arrived from a peer.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param from the VM of the peer
 * @param message the message
 */
public record PeerMessageReceived(VmName from, PeerMessage message) implements Event {
}
