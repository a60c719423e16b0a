package org.lovagevale.core.fleet;

import org.lovagevale.base.VmName;
import org.lovagevale.core.AuditRecorder;
import org.lovagevale.settings.model.EntryVm;

/**
 * Decides whether new work may start.
 *
 * <p>
 * Not thread-safe.
 */
final class Permission {

	private final VmName self;

	private final Published published;

	private final SettingsFreshness freshness;

	private final Members members;

	private final StartRule startRule;

	private final PlannedStop stop;

	private final AuditRecorder audit;

	private boolean started;

	private boolean fenced;

	Permission(VmName self, Published published, SettingsFreshness freshness, Members members, StartRule startRule,
			PlannedStop stop, AuditRecorder audit) {
		this.self = self;
		this.published = published;
		this.freshness = freshness;
		this.members = members;
		this.startRule = startRule;
		this.stop = stop;
		this.audit = audit;
	}

	boolean isStarted() {
		return this.started;
	}

	WorkPermission now() {
		if (this.stop.isClosed()) {
			return WorkPermission.STOPPED;
		}
		if (!this.started) {
			return WorkPermission.STARTING;
		}
		boolean isConfirmed = this.freshness.isConfirmed(this.published.exchange().fenceMs());
		return (isConfirmed || isMajority()) ? WorkPermission.OPEN : WorkPermission.FENCED;
	}

	void tick(long highestClaim) {
		if (!this.started && this.startRule.isSatisfied(highestClaim)) {
			this.started = true;
			this.audit.add("fleet.started", "version", this.published.version());
		}
		boolean isFenced = now() == WorkPermission.FENCED;
		if (isFenced != this.fenced) {
			this.fenced = isFenced;
			this.audit.add(isFenced ? "fleet.fenced" : "fleet.open", "version", this.published.version(),
					"confirmedAgeMs", this.freshness.ageMs());
		}
	}

	// Peers that are heard do not help a process that knows its settings are outdated.
	private boolean isMajority() {
		if (this.freshness.highestClaim() > this.published.version()) {
			return false;
		}
		long fenceMs = this.published.exchange().fenceMs();
		long heard = this.published.entryVms()
			.stream()
			.map(EntryVm::name)
			.filter((vm) -> vm.equals(this.self) || this.members.isHeard(vm, fenceMs))
			.count();
		return heard * 2 > this.published.entryVms().size();
	}

}
