package org.lovagevale.core.event;

import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;

/**
 * A link to a peer opened and can be used in both directions.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param peer the VM of the peer
 * @param incarnation the incarnation of the peer
 */
public record PeerConnected(VmName peer, Incarnation incarnation) implements Event {
}
