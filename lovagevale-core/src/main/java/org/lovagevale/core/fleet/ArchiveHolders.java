package org.lovagevale.core.fleet;

import java.util.Comparator;
import java.util.List;

import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.settings.model.EntryVm;

/**
 * Chooses the peers that keep the key archive of a process.
 *
 * <p>
 * They are in its region, because the home regions of all its keys contain that region,
 * and in other failure domains where possible. The sender and those who ask compute the
 * same order. Thread-safe if the settings do not change.
 */
final class ArchiveHolders {

	/** Copies of an archive. */
	static final int COPIES = 3;

	private final VmName self;

	private final ActiveSettings activeSettings;

	private final Members members;

	ArchiveHolders(VmName self, ActiveSettings activeSettings, Members members) {
		this.self = self;
		this.activeSettings = activeSettings;
		this.members = members;
	}

	/**
	 * Returns the peers within reach that should keep an archive.
	 * @param vm the VM of the process
	 * @param incarnation its incarnation
	 * @return at most three VMs, without that VM and this one
	 */
	List<VmName> choose(VmName vm, Incarnation incarnation) {
		EntryVm owner = this.activeSettings.vm(vm);
		if (owner == null) {
			return List.of();
		}
		long withinMs = this.activeSettings.exchange().unreachableMs();
		return RendezvousHash.rank("archive " + vm + "." + incarnation, this.activeSettings.entryVmsIn(owner.region()))
			.stream()
			.sorted(Comparator.comparing((EntryVm other) -> other.domain().equals(owner.domain())))
			.map(EntryVm::name)
			.filter((other) -> !other.equals(vm) && !other.equals(this.self))
			.filter((other) -> this.members.isReachableWithin(other, withinMs))
			.limit(COPIES)
			.toList();
	}

}
