package org.lovagevale.core.placing;

import org.lovagevale.base.VmName;

/**
 * Identifies one slot request.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the entry VM that holds the request
 * @param number a number that no run of the process on the VM uses twice, and that
 * differs from those of its other runs
 */
public record SlotId(VmName vm, long number) {
}
