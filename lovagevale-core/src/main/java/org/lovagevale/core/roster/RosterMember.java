package org.lovagevale.core.roster;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;

/**
 * An entry process of the fleet.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the name of its VM
 * @param host its IP number
 * @param peerPort the TCP port for peers
 * @param callerPort the TCP port for callers
 * @param domain its failure domain
 * @param region its region
 * @param capacity the processor time it may use, in percent of a core
 * @param incarnation this run of the process
 * @param beat a counter that it increases
 * @param phase what it does
 */
public record RosterMember(VmName vm, String host, int peerPort, int callerPort, FailureDomain domain, Region region,
		int capacity, Incarnation incarnation, long beat, RosterPhase phase) {

	/**
	 * Returns this member with another beat and phase.
	 * @param nextBeat the beat
	 * @param nextPhase the phase
	 * @return the member
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
