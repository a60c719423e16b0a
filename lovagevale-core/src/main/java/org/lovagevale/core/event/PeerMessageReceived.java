package org.lovagevale.core.event;

import org.lovagevale.base.VmName;
import org.lovagevale.core.message.PeerMessage;

/**
 * A peer sent a message.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param from the peer
 * @param message the message
 */
public record PeerMessageReceived(VmName from, PeerMessage message) implements Event {
}
