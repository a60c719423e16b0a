package org.lovagevale.core.decision;

/**
 * Read the list of VMs once.
 *
 * <p>
 * Immutable and thread-safe.
 */
public record ReadVmList() implements Decision {
}
