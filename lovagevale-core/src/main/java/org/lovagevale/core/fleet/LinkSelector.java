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
 * Chooses the peers to which a process maintains links.
 *
 * <p>
 * At least one peer is in another region and at least two are in other failure domains of
 * the same region, if there are such VMs. The remaining ones are in the same region where
 * possible, because traffic between regions is limited and billed. Thread-safe.
 */
final class LinkSelector {

	private static final int MIN_OTHER_REGION_LINKS = 1;

	private static final int MIN_OTHER_DOMAIN_LINKS = 2;

	private LinkSelector() {
	}

	static Set<VmName> allPeers(VmName self, List<EntryVm> vms) {
		Set<VmName> names = new TreeSet<>();
		vms.stream().map(EntryVm::name).filter((vm) -> !vm.equals(self)).forEach(names::add);
		return names;
	}

	/**
	 * Chooses the peers of a VM.
	 * @param self the VM
	 * @param vms the published entry VMs
	 * @param count the number of peers; more are chosen if the minimum numbers of peers
	 * in other regions and failure domains require it
	 * @return the peers, fewer if there are not enough VMs
	 */
	static Set<VmName> choose(VmName self, List<EntryVm> vms, int count) {
		EntryVm own = vms.stream().filter((vm) -> vm.name().equals(self)).findFirst().orElse(null);
		List<EntryVm> others = vms.stream().filter((vm) -> !vm.name().equals(self)).toList();
		List<EntryVm> ranked = RendezvousHash.rank("link " + self, others);
		Set<EntryVm> chosen = new LinkedHashSet<>();
		if (own != null) {
			addMatching(chosen, ranked, (vm) -> !vm.region().equals(own.region()), MIN_OTHER_REGION_LINKS);
			addMatching(chosen, ranked, (vm) -> isInOtherDomainOfRegion(vm, own), MIN_OTHER_DOMAIN_LINKS);
		}
		List<EntryVm> sameRegionFirst = ranked.stream()
			.sorted(Comparator.comparing((vm) -> !isSameRegion(vm, own)))
			.toList();
		addMatching(chosen, sameRegionFirst, (vm) -> true, Math.max(0, count - chosen.size()));
		Set<VmName> names = new TreeSet<>();
		chosen.forEach((vm) -> names.add(vm.name()));
		return names;
	}

	private static void addMatching(Set<EntryVm> chosen, List<EntryVm> ranked, Predicate<EntryVm> filter, int count) {
		ranked.stream().filter((vm) -> !chosen.contains(vm)).filter(filter).limit(count).forEach(chosen::add);
	}

	private static boolean isInOtherDomainOfRegion(EntryVm vm, EntryVm own) {
		return vm.region().equals(own.region()) && !vm.domain().equals(own.domain());
	}

	private static boolean isSameRegion(EntryVm vm, @Nullable EntryVm own) {
		return own != null && vm.region().equals(own.region());
	}

}
