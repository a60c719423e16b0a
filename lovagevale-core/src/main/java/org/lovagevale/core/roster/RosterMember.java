package org.lovagevale.core.roster;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;

/**
 * One run of an entry process of the fleet.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of its VM
 * @param host its IP address
 * @param peerPort the TCP port for connections of other entry processes
 * @param callerPort the TCP port for connections of callers
 * @param domain its failure domain
 * @param region its region
 * @param capacity the CPU time that it may use, in percent of one core
 * @param incarnation the run of the process
 * @param beat a counter that the process increases with each heartbeat
 * @param phase the phase that the process is in
 */
public record RosterMember(VmName vm, String host, int peerPort, int callerPort, FailureDomain domain, Region region,
		int capacity, Incarnation incarnation, long beat, RosterPhase phase) {

	/**
	 * Returns a copy of this member with another heartbeat counter and phase.
	 * @param nextBeat the heartbeat counter
	 * @param nextPhase the phase
	 * @return the copy
	 */
	public RosterMember withBeat(long nextBeat, RosterPhase nextPhase) {
		return new RosterMember(this.vm, this.host, this.peerPort, this.callerPort, this.domain, this.region,
				this.capacity, this.incarnation, nextBeat, nextPhase);
	}

	boolean isNewerThan(RosterMember other) {
		int order = this.incarnation.compareTo(other.incarnation);
		return order > 0 || order == 0 && this.beat > other.beat;
	}

}
