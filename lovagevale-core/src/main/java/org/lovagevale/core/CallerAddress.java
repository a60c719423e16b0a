package org.lovagevale.core;

import org.lovagevale.settings.model.EntryVm;

/**
 * The address of an entry VM, as returned to a caller.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the entry VM
 * @param keyPrefix the prefix of idempotency keys for this VM, empty if not known
 */
public record CallerAddress(EntryVm vm, String keyPrefix) {
}
