package org.lovagevale.core;

import org.lovagevale.base.VmName;

/**
 * What a process knows about itself from its command line.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of its VM
 * @param incarnation this run
 */
public record ProcessIdentity(VmName vm, Incarnation incarnation) {
}
