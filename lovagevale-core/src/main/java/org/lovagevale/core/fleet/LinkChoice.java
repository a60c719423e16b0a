package org.lovagevale.core.fleet;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.EntryVm;

/**
 * Chooses the peers to which a process keeps links.
 *
 * <p>
 * At least one is in another region and at least two are in other failure domains, if
 * there are such VMs. The others are in the same region where possible, because traffic
 * between regions is limited and billed. Thread-safe.
 */
final class LinkChoice {

	private static final int OTHER_REGIONS = 1;

	private static final int OTHER_DOMAINS = 2;

	private LinkChoice() {
	}

	static Set<VmName> all(VmName self, List<EntryVm> vms) {
		Set<VmName> names = new TreeSet<>();
		vms.stream().map(EntryVm::name).filter((vm) -> !vm.equals(self)).forEach(names::add);
		return names;
	}

	static Set<VmName> choose(VmName self, List<EntryVm> vms, int links) {
		EntryVm own = vms.stream().filter((vm) -> vm.name().equals(self)).findFirst().orElse(null);
		List<EntryVm> others = vms.stream().filter((vm) -> !vm.name().equals(self)).toList();
		List<EntryVm> ranked = RendezvousHash.rank("link " + self, others);
		Set<EntryVm> chosen = new LinkedHashSet<>();
		if (own != null) {
			add(chosen, ranked, (vm) -> !vm.region().equals(own.region()), OTHER_REGIONS);
			add(chosen, ranked, (vm) -> isOtherDomainOfRegion(vm, own), OTHER_DOMAINS);
		}
		List<EntryVm> nearFirst = ranked.stream().sorted(Comparator.comparing((vm) -> !isSameRegion(vm, own))).toList();
		add(chosen, nearFirst, (vm) -> true, Math.max(0, links - chosen.size()));
		Set<VmName> names = new TreeSet<>();
		chosen.forEach((vm) -> names.add(vm.name()));
		return names;
	}

	private static void add(Set<EntryVm> chosen, List<EntryVm> ranked, Predicate<EntryVm> filter, int count) {
		ranked.stream().filter((vm) -> !chosen.contains(vm)).filter(filter).limit(count).forEach(chosen::add);
	}

	private static boolean isOtherDomainOfRegion(EntryVm vm, EntryVm own) {
		return vm.region().equals(own.region()) && !vm.domain().equals(own.domain());
	}

	private static boolean isSameRegion(EntryVm vm, @Nullable EntryVm own) {
		return own != null && vm.region().equals(own.region());
	}

}
