package org.lovagevale.core.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.EntryVm;

/**
 * Decides when a new process knows the highest settings version, so that it may serve.
 *
 * <p>
 * Not thread-safe.
 */
final class StartRule {

	private final VmName self;

	private final Published published;

	private final Set<VmName> answered = new HashSet<>();

	private final Set<VmName> refused = new HashSet<>();

	private Set<String> listed = Set.of();

	private boolean isListKnown;

	StartRule(VmName self, Published published) {
		this.self = self;
		this.published = published;
	}

	void answered(VmName peer) {
		this.answered.add(peer);
	}

	void refused(VmName peer) {
		this.refused.add(peer);
	}

	void listed(Set<String> names) {
		this.listed = Set.copyOf(names);
		this.isListKnown = true;
	}

	/**
	 * Tells whether enough of the published VMs were heard.
	 * @param highestClaim the highest version that a peer has
	 * @return {@code true} if the process may start to serve
	 */
	boolean isSatisfied(long highestClaim) {
		List<EntryVm> vms = this.published.entryVms();
		if (!this.published.isPublished(this.self) || this.published.version() < highestClaim) {
			return false;
		}
		long answers = vms.stream().filter((vm) -> isSelfOrAnswered(vm.name())).count();
		return answers * 2 > vms.size() || vms.stream().allMatch((vm) -> isAccountedFor(vm.name()));
	}

	private boolean isSelfOrAnswered(VmName vm) {
		return vm.equals(this.self) || this.answered.contains(vm);
	}

	private boolean isAccountedFor(VmName vm) {
		boolean isAbsent = this.isListKnown && !this.listed.contains(vm.value());
		return isSelfOrAnswered(vm) || this.refused.contains(vm) || isAbsent;
	}

}
