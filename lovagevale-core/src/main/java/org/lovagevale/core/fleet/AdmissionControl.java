package org.lovagevale.core.fleet;

import org.lovagevale.base.VmName;
import org.lovagevale.core.AuditRecorder;
import org.lovagevale.settings.model.EntryVm;

/**
 * Decides whether this process may start new work.
 *
 * <p>
 * Not thread-safe.
 */
final class AdmissionControl {

	private final VmName self;

	private final ActiveSettings activeSettings;

	private final SettingsFreshness freshness;

	private final Members members;

	private final StartupCondition startupCondition;

	private final PlannedStop plannedStop;

	private final AuditRecorder audit;

	private boolean started;

	private boolean auditedFenced;

	AdmissionControl(VmName self, ActiveSettings activeSettings, SettingsFreshness freshness, Members members,
			StartupCondition startupCondition, PlannedStop plannedStop, AuditRecorder audit) {
		this.self = self;
		this.activeSettings = activeSettings;
		this.freshness = freshness;
		this.members = members;
		this.startupCondition = startupCondition;
		this.plannedStop = plannedStop;
		this.audit = audit;
	}

	boolean isStarted() {
		return this.started;
	}

	WorkPermission permission() {
		if (this.plannedStop.isClosed()) {
			return WorkPermission.STOPPED;
		}
		if (!this.started) {
			return WorkPermission.STARTING;
		}
		boolean isConfirmed = this.freshness.isConfirmed(this.activeSettings.exchange().fenceMs());
		return (isConfirmed || isMajorityReachable()) ? WorkPermission.OPEN : WorkPermission.FENCED;
	}

	/**
	 * Lets the process start to serve once the startup condition is satisfied, and
	 * records in the audit trail when it starts, is fenced and is no longer fenced.
	 * @param highestPeerVersion the highest settings version reported by a peer
	 */
	void tick(long highestPeerVersion) {
		if (!this.started && this.startupCondition.isSatisfied(highestPeerVersion)) {
			this.started = true;
			this.audit.add("fleet.started", "version", this.activeSettings.version());
		}
		boolean isFenced = permission() == WorkPermission.FENCED;
		if (isFenced != this.auditedFenced) {
			this.auditedFenced = isFenced;
			this.audit.add(isFenced ? "fleet.fenced" : "fleet.open", "version", this.activeSettings.version(),
					"confirmedAgeMs", this.freshness.ageMs());
		}
	}

	// A reachable majority does not permit work while a peer reports a newer settings
	// version.
	private boolean isMajorityReachable() {
		if (this.freshness.highestPeerVersion() > this.activeSettings.version()) {
			return false;
		}
		long fenceMs = this.activeSettings.exchange().fenceMs();
		long reachable = this.activeSettings.entryVms()
			.stream()
			.map(EntryVm::name)
			.filter((vm) -> vm.equals(this.self) || this.members.isReachableWithin(vm, fenceMs))
			.count();
		return reachable * 2 > this.activeSettings.entryVms().size();
	}

}
