package org.lovagevale.core.event;

import org.lovagevale.base.VmName;

/**
 * A link to a peer closed or could not be opened.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param peer the VM of the peer
 */
public record PeerLost(VmName peer) implements Event {
}
