package org.lovagevale.core.decision;

/**
 * Read the list of entry VMs and backend servers from the platform once.
 *
 * <p>
 * Immutable and thread-safe.
 */
public record ReadVmList() implements Decision {
}
