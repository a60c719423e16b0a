package org.lovagevale.core.fleet;

import org.lovagevale.core.AuditRecorder;

/**
 * Records in the audit trail when members become unreachable and reachable again.
 *
 * <p>
 * Not thread-safe.
 */
final class ReachabilityAudit {

	private final ActiveSettings activeSettings;

	private final Members members;

	private final AuditRecorder audit;

	ReachabilityAudit(ActiveSettings activeSettings, Members members, AuditRecorder audit) {
		this.activeSettings = activeSettings;
		this.members = members;
		this.audit = audit;
	}

	void tick() {
		long withinMs = this.activeSettings.exchange().unreachableMs();
		for (Member member : this.members.all()) {
			boolean isReachable = this.members.isReachableWithin(member, withinMs);
			if (isReachable != member.isAuditedReachable()) {
				member.setAuditedReachable(isReachable);
				this.audit.add(isReachable ? "member.reachable" : "member.unreachable", "vm", member.vm(),
						"incarnation", member.incarnation());
			}
		}
	}

}
