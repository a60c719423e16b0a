package org.lovagevale.core;

import org.lovagevale.settings.model.EntryVm;

/**
 * An entry VM offered to a caller.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the VM
 * @param keyPrefix the prefix of idempotency keys for it, empty if not known
 */
public record CallerAddress(EntryVm vm, String keyPrefix) {
}
