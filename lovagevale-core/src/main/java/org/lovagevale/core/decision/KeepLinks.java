package org.lovagevale.core.decision;

import java.util.Set;

import org.lovagevale.base.VmName;

/**
 * Keep permanent links open to exactly these peers. Links that were opened on demand are
 * not affected.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param peers the VMs of the peers
 */
public record KeepLinks(Set<VmName> peers) implements Decision {
}
