package org.lovagevale.core.fleet;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.lovagevale.base.Clock;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.EntryVm;

/**
 * Chooses the processes that read the platform in a time window.
 *
 * <p>
 * There is at least one reader in each region, so that a region that is partitioned from
 * the others still reads the platform. Not thread-safe.
 */
final class ReaderSelector {

	private final Clock clock;

	private final ActiveSettings activeSettings;

	private Set<VmName> readers = Set.of();

	private long window = Long.MIN_VALUE;

	private long version = -1;

	ReaderSelector(Clock clock, ActiveSettings activeSettings) {
		this.clock = clock;
		this.activeSettings = activeSettings;
	}

	boolean isReader(VmName vm) {
		long windowMs = Math.max(1, this.activeSettings.exchange().readerWindowMs());
		long current = Math.floorDiv(this.clock.epochMillis(), windowMs);
		if (current != this.window || this.version != this.activeSettings.version()) {
			this.window = current;
			this.version = this.activeSettings.version();
			this.readers = choose();
		}
		return this.readers.contains(vm);
	}

	private Set<VmName> choose() {
		List<EntryVm> ranked = RendezvousHash.rank("reader " + this.window, candidates());
		Set<VmName> chosen = new LinkedHashSet<>();
		Set<Region> regions = new LinkedHashSet<>();
		ranked.stream().filter((vm) -> regions.add(vm.region())).forEach((vm) -> chosen.add(vm.name()));
		int count = this.activeSettings.exchange().settingsReaders();
		ranked.stream().map(EntryVm::name).takeWhile((vm) -> chosen.size() < count).forEach(chosen::add);
		return chosen;
	}

	// VMs that are out of service may be powered off. They are chosen only if all VMs are
	// out of service.
	private List<EntryVm> candidates() {
		List<EntryVm> inService = this.activeSettings.entryVms().stream().filter((vm) -> !vm.out()).toList();
		return inService.isEmpty() ? this.activeSettings.entryVms() : inService;
	}

}
