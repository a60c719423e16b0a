package org.lovagevale.core.fleet;

import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.message.MemberEntry;

/**
 * The known state of another entry process.
 *
 * <p>
 * Invariant: the incarnation never decreases, and neither does the heartbeat counter
 * within an incarnation. Not thread-safe.
 */
final class Member {

	private final VmName vm;

	private Incarnation incarnation;

	private MemberPhase phase;

	private MemberEntry entry;

	private long lastHeardAt = Heartbeat.NEVER;

	private boolean auditedReachable;

	Member(VmName vm, Incarnation incarnation, MemberPhase phase, MemberEntry entry) {
		this.vm = vm;
		this.incarnation = incarnation;
		this.phase = phase;
		this.entry = entry;
	}

	VmName vm() {
		return this.vm;
	}

	Incarnation incarnation() {
		return this.incarnation;
	}

	MemberPhase phase() {
		return this.phase;
	}

	MemberEntry entry() {
		return this.entry;
	}

	long lastHeardAt() {
		return this.lastHeardAt;
	}

	/**
	 * Returns the reachability that was last recorded in the audit trail.
	 * @return {@code true} if the member was recorded as reachable
	 */
	boolean isAuditedReachable() {
		return this.auditedReachable;
	}

	void setAuditedReachable(boolean auditedReachable) {
		this.auditedReachable = auditedReachable;
	}

	/**
	 * Tells whether this state is older than a received entry.
	 * @param incarnation the incarnation of the entry
	 * @param beat the heartbeat counter of the entry
	 * @return {@code true} if the entry replaces this state
	 */
	boolean isOlderThan(Incarnation incarnation, long beat) {
		int order = incarnation.compareTo(this.incarnation);
		return order > 0 || (order == 0 && beat > this.entry.beat());
	}

	void update(Incarnation incarnation, MemberPhase phase, MemberEntry entry) {
		if (!incarnation.equals(this.incarnation)) {
			this.lastHeardAt = Heartbeat.NEVER;
		}
		this.incarnation = incarnation;
		this.phase = phase;
		this.entry = entry;
	}

	void recordHeard(long at) {
		this.lastHeardAt = Math.max(this.lastHeardAt, at);
	}

}
