package org.lovagevale.core.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.EntryVm;

/**
 * Decides when a starting process is certain to have the highest settings version and may
 * serve.
 *
 * <p>
 * Not thread-safe.
 */
final class StartupCondition {

	private final VmName self;

	private final ActiveSettings activeSettings;

	private final Set<VmName> answeredVms = new HashSet<>();

	private final Set<VmName> refusingVms = new HashSet<>();

	private Set<String> listedVms = Set.of();

	private boolean vmListKnown;

	StartupCondition(VmName self, ActiveSettings activeSettings) {
		this.self = self;
		this.activeSettings = activeSettings;
	}

	void recordAnswer(VmName peer) {
		this.answeredVms.add(peer);
	}

	void recordRefusal(VmName peer) {
		this.refusingVms.add(peer);
	}

	void recordVmList(Set<String> names) {
		this.listedVms = Set.copyOf(names);
		this.vmListKnown = true;
	}

	/**
	 * Tells whether a majority of the published VMs answered, this one included, or every
	 * VM answered, refused the connection or is missing from the list of VMs. This VM
	 * must be published, and no peer may report a newer version than this process has.
	 * @param highestPeerVersion the highest settings version reported by a peer
	 * @return {@code true} if the process may start to serve
	 */
	boolean isSatisfied(long highestPeerVersion) {
		List<EntryVm> vms = this.activeSettings.entryVms();
		if (!this.activeSettings.isPublished(this.self) || this.activeSettings.version() < highestPeerVersion) {
			return false;
		}
		long answers = vms.stream().filter((vm) -> isSelfOrAnswered(vm.name())).count();
		return answers * 2 > vms.size() || vms.stream().allMatch((vm) -> isSelfOrAnsweredOrDown(vm.name()));
	}

	private boolean isSelfOrAnswered(VmName vm) {
		return vm.equals(this.self) || this.answeredVms.contains(vm);
	}

	private boolean isSelfOrAnsweredOrDown(VmName vm) {
		boolean isAbsent = this.vmListKnown && !this.listedVms.contains(vm.value());
		return isSelfOrAnswered(vm) || this.refusingVms.contains(vm) || isAbsent;
	}

}
