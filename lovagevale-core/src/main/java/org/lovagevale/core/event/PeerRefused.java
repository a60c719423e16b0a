package org.lovagevale.core.event;

import org.lovagevale.base.VmName;

/**
 * A connection to a peer was refused, which shows that no process listens there.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param peer the VM of the peer
 */
public record PeerRefused(VmName peer) implements Event {
}
