package org.lovagevale.core.placing;

import org.lovagevale.base.VmName;

/**
 * Identifies one slot request.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the entry VM that holds the request
 * @param number a number that the VM uses only once in its lifetime
 */
public record SlotId(VmName vm, long number) {
}
