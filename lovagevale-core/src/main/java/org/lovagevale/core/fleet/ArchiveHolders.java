package org.lovagevale.core.fleet;

import java.util.Comparator;
import java.util.List;

import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.settings.model.EntryVm;

/**
 * Chooses the peers that store the key archive of a stopped process.
 *
 * <p>
 * The peers are in the region of that process, because that region is among the home
 * regions of all its keys, and in other failure domains where possible. The process that
 * sends the archive and the processes that query it rank the peers in the same order. Not
 * thread-safe.
 */
final class ArchiveHolders {

	/** Maximum number of peers that store a copy of an archive. */
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
	 * Returns the reachable peers that should store an archive.
	 * @param vm the VM of the process
	 * @param incarnation the incarnation of the process
	 * @return at most {@link #COPIES} VMs, never {@code vm} or the VM of this process
	 */
	List<VmName> choose(VmName vm, Incarnation incarnation) {
		EntryVm owner = this.activeSettings.entryVm(vm);
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
