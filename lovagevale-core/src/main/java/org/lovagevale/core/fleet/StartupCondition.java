package org.lovagevale.core.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.EntryVm;

/**
 * Decides when a starting process is certain to know the highest settings version and may
 * serve.
 *
 * <p>
 * Not thread-safe.
 */
final class StartupCondition {

	private final VmName self;

	private final ActiveSettings activeSettings;

	private final Set<VmName> answered = new HashSet<>();

	private final Set<VmName> refused = new HashSet<>();

	private Set<String> listedVms = Set.of();

	private boolean isListKnown;

	StartupCondition(VmName self, ActiveSettings activeSettings) {
		this.self = self;
		this.activeSettings = activeSettings;
	}

	void answered(VmName peer) {
		this.answered.add(peer);
	}

	void refused(VmName peer) {
		this.refused.add(peer);
	}

	void vmListReceived(Set<String> names) {
		this.listedVms = Set.copyOf(names);
		this.isListKnown = true;
	}

	/**
	 * Tells whether a majority of the published VMs answered, this one included, or every
	 * other one answered, refused the connection or is missing from the list of VMs. This
	 * VM must be published, and no peer may report a newer version than this process has.
	 * @param highestPeerVersion the highest settings version reported by a peer
	 * @return {@code true} if the process may start to serve
	 */
	boolean isSatisfied(long highestPeerVersion) {
		List<EntryVm> vms = this.activeSettings.entryVms();
		if (!this.activeSettings.isPublished(this.self) || this.activeSettings.version() < highestPeerVersion) {
			return false;
		}
		long answers = vms.stream().filter((vm) -> isSelfOrAnswered(vm.name())).count();
		return answers * 2 > vms.size() || vms.stream().allMatch((vm) -> isAccountedFor(vm.name()));
	}

	private boolean isSelfOrAnswered(VmName vm) {
		return vm.equals(this.self) || this.answered.contains(vm);
	}

	private boolean isAccountedFor(VmName vm) {
		boolean isAbsent = this.isListKnown && !this.listedVms.contains(vm.value());
		return isSelfOrAnswered(vm) || this.refused.contains(vm) || isAbsent;
	}

}
