package org.lovagevale.core.message;

/**
 * What a process knows of an entry process.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of the VM
 * @param incarnation the incarnation
 * @param beat a counter that the process itself increases with each digest
 * @param phase the name of its {@code MemberPhase}
 * @param keyEpoch its current key epoch
 * @param fenced whether it takes no new work because its settings may be outdated
 */
public record MemberEntry(String vm, String incarnation, long beat, String phase, long keyEpoch, boolean fenced) {
}
