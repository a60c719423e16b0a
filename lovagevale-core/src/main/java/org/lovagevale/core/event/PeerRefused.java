package org.lovagevale.core.event;

import org.lovagevale.base.VmName;

/**
 * A peer actively refused a connection: no process listens there.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param peer the peer
 */
public record PeerRefused(VmName peer) implements Event {
}
