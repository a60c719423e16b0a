package org.lovagevale.core.fleet;

import org.lovagevale.core.AuditRecorder;

/**
 * Records in the audit trail when members become unreachable and come back.
 *
 * <p>
 * Not thread-safe.
 */
final class MemberWatch {

	private final Published published;

	private final Members members;

	private final AuditRecorder audit;

	MemberWatch(Published published, Members members, AuditRecorder audit) {
		this.published = published;
		this.members = members;
		this.audit = audit;
	}

	void tick() {
		long withinMs = this.published.exchange().unreachableMs();
		for (Member member : this.members.all()) {
			boolean isReachable = this.members.isHeard(member, withinMs);
			if (isReachable != member.isReachable()) {
				member.setReachable(isReachable);
				this.audit.add(isReachable ? "member.reachable" : "member.unreachable", "vm", member.vm(),
						"incarnation", member.incarnation());
			}
		}
	}

}
