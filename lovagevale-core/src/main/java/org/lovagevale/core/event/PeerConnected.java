package org.lovagevale.core.event;

import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;

/**
 * A link to a peer is open in both directions.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param peer the peer
 * @param incarnation its incarnation
 */
public record PeerConnected(VmName peer, Incarnation incarnation) implements Event {
}
