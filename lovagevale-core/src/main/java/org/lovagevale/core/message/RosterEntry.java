package org.lovagevale.core.message;

/**
 * What an entry process tells of itself to the others of the roster.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of the VM
 * @param host its IP number
 * @param peerPort the TCP port for peers
 * @param callerPort the TCP port for callers
 * @param domain its failure domain
 * @param region its region
 * @param capacity the processor time it may use, in percent of a core
 * @param incarnation this run of the process
 * @param beat a counter that the process increases with each message about itself
 * @param phase the name of its {@code RosterPhase}
 */
public record RosterEntry(String vm, String host, int peerPort, int callerPort, String domain, String region,
		int capacity, String incarnation, long beat, String phase) {
}
