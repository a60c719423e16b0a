package org.lovagevale.core;

import org.lovagevale.base.VmName;

/**
 * The identity of this process: the VM on which it runs and the current run.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of the VM
 * @param incarnation the current run of the process
 */
public record ProcessIdentity(VmName vm, Incarnation incarnation) {
}
