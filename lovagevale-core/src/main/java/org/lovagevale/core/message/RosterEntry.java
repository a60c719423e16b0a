package org.lovagevale.core.message;

/**
 * The description of an entry process that it sends to the other members of the roster.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of the VM
 * @param host the IP address of the VM
 * @param peerPort the TCP port for connections from peers
 * @param callerPort the TCP port for connections from callers
 * @param domain the failure domain of the VM
 * @param region the region of the VM
 * @param capacity the CPU time that the process may use, in percent of a core
 * @param incarnation the incarnation of the process
 * @param beat a counter that the process increments with each message about itself
 * @param phase the name of its {@code RosterPhase}
 */
public record RosterEntry(String vm, String host, int peerPort, int callerPort, String domain, String region,
		int capacity, String incarnation, long beat, String phase) {

	/**
	 * Tells whether another entry describes the same run in the same phase.
	 * @param other the other entry
	 * @return {@code true} if the entries differ in their heartbeat counters at most
	 */
	public boolean equalsExceptBeat(RosterEntry other) {
		return this.vm.equals(other.vm) && this.host.equals(other.host) && this.peerPort == other.peerPort
				&& this.callerPort == other.callerPort && this.domain.equals(other.domain)
				&& this.region.equals(other.region) && this.capacity == other.capacity
				&& this.incarnation.equals(other.incarnation) && this.phase.equals(other.phase);
	}

}
