package org.lovagevale.core.roster;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

import org.lovagevale.base.VmName;
import org.lovagevale.core.fleet.RendezvousHash;

/**
 * The scores of VMs for one duty, by which its owners are chosen.
 *
 * <p>
 * Invariant: the score of a VM never changes, so it is computed once. Not thread-safe.
 */
final class DutyScores {

	/**
	 * Number of remembered scores above which all are dropped, since the VMs of a region
	 * may be replaced any number of times.
	 */
	private static final int MAX_REMEMBERED = 1_000;

	private final String duty;

	private final Map<VmName, Long> scores = new HashMap<>();

	DutyScores(String duty) {
		this.duty = duty;
	}

	/**
	 * Returns the order in which members are chosen for the duty.
	 * @return the order
	 */
	Comparator<RosterMember> order() {
		if (this.scores.size() > MAX_REMEMBERED) {
			this.scores.clear();
		}
		return Comparator.comparingLong((RosterMember member) -> score(member.vm())).thenComparing(RosterMember::vm);
	}

	private long score(VmName vm) {
		return this.scores.computeIfAbsent(vm, (name) -> RendezvousHash.score(this.duty, name.value()));
	}

}
