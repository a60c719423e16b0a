package org.lovagevale.core.decision;

import java.util.Set;

import org.lovagevale.base.VmName;

/**
 * Keep links open to exactly these peers, besides those opened on demand.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param peers the peers
 */
public record KeepLinks(Set<VmName> peers) implements Decision {
}
