package org.lovagevale.core.message;

/**
 * The state of an entry process as known to another process.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of the VM
 * @param incarnation the incarnation of the process
 * @param beat a counter that the process itself increments with each digest
 * @param phase the name of its {@code MemberPhase}
 * @param keyEpoch the current key epoch of the process
 * @param fenced whether the process accepts no new work because its settings may be
 * outdated
 */
public record MemberEntry(String vm, String incarnation, long beat, String phase, long keyEpoch, boolean fenced) {
}
