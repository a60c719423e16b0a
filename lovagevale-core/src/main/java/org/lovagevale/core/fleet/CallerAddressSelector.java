package org.lovagevale.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;
import org.lovagevale.core.CallerAddress;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.decision.AnswerAddresses;
import org.lovagevale.core.event.AddressesAsked;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.settings.model.AccountSettings;
import org.lovagevale.settings.model.AddressSettings;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.Settings;

/**
 * Selects the entry VMs whose addresses are returned to callers.
 *
 * <p>
 * VMs in the region of this process come first, and rendezvous hashing spreads callers
 * over the VMs of a region. Where possible, the addresses span at least two failure
 * domains, so that a caller still has a usable address when one failure domain is lost.
 * Not thread-safe.
 */
final class CallerAddressSelector {

	private final ActiveSettings activeSettings;

	private final Members members;

	private final LeavingNames leavingNames;

	CallerAddressSelector(ActiveSettings activeSettings, Members members, LeavingNames leavingNames) {
		this.activeSettings = activeSettings;
		this.members = members;
		this.leavingNames = leavingNames;
	}

	/**
	 * Answers a request of a caller for addresses.
	 * @param request the request of the caller
	 * @param own the member entry of this process with the current key epoch
	 * @return the answer, with an empty list of addresses if no VM is usable
	 */
	AnswerAddresses answer(AddressesAsked request, MemberEntry own) {
		Settings settings = this.activeSettings.settings();
		if (settings == null) {
			return new AnswerAddresses(request.id(), List.of(), 0, 0);
		}
		Set<Region> homeRegions = homeRegions(settings, request);
		List<EntryVm> usable = settings.entryVms()
			.stream()
			.filter((vm) -> !vm.out() && (homeRegions.isEmpty() || homeRegions.contains(vm.region())))
			.filter((vm) -> isUsable(vm, own))
			.toList();
		AddressSettings addressSettings = settings.addresses();
		List<CallerAddress> addresses = select(request.callerAddress(), usable, addressSettings.count()).stream()
			.map((vm) -> new CallerAddress(vm, keyPrefix(vm, own)))
			.toList();
		return new AnswerAddresses(request.id(), addresses, addressSettings.validForMs(), settings.version());
	}

	private static Set<Region> homeRegions(Settings settings, AddressesAsked request) {
		Set<Region> serviceRegions = settings.service(request.service())
			.map((found) -> found.policy().homeRegions())
			.orElse(Set.of());
		Set<Region> accountRegions = Optional.ofNullable(request.account())
			.flatMap(settings::account)
			.map(AccountSettings::homeRegions)
			.orElse(Set.of());
		if (serviceRegions.isEmpty() || accountRegions.isEmpty()) {
			return serviceRegions.isEmpty() ? accountRegions : serviceRegions;
		}
		Set<Region> intersection = new HashSet<>(serviceRegions);
		intersection.retainAll(accountRegions);
		return intersection;
	}

	private boolean isUsable(EntryVm vm, MemberEntry own) {
		MemberEntry entry = memberEntry(vm, own);
		return entry != null && entry.phase().equals(MemberPhase.LIVE.name()) && !entry.fenced()
				&& !this.leavingNames.isLeaving(vm.name().value());
	}

	private @Nullable MemberEntry memberEntry(EntryVm vm, MemberEntry own) {
		if (vm.name().value().equals(own.vm())) {
			return own;
		}
		Member member = this.members.find(vm.name());
		boolean isReachable = member != null
				&& this.members.isReachableWithin(member, this.activeSettings.exchange().unreachableMs());
		return (member != null && isReachable) ? member.entry() : null;
	}

	private List<EntryVm> select(String caller, List<EntryVm> usable, int count) {
		Region ownRegion = this.activeSettings.ownRegion();
		List<EntryVm> ranked = RendezvousHash.rank(caller, usable)
			.stream()
			.sorted(Comparator.comparing((EntryVm vm) -> !vm.region().equals(ownRegion)))
			.toList();
		List<EntryVm> selected = new ArrayList<>(ranked.subList(0, Math.min(count, ranked.size())));
		if (selected.size() > 1 && selected.stream().map(EntryVm::domain).distinct().count() == 1) {
			Predicate<EntryVm> isInOtherDomain = (vm) -> !vm.domain().equals(selected.getFirst().domain());
			ranked.stream()
				.filter(isInOtherDomain)
				.findFirst()
				.ifPresent((vm) -> selected.set(selected.size() - 1, vm));
		}
		return selected;
	}

	private String keyPrefix(EntryVm vm, MemberEntry own) {
		MemberEntry entry = memberEntry(vm, own);
		return (entry != null)
				? IdempotencyKey.prefix(vm.name(), Incarnation.parse(entry.incarnation()), entry.keyEpoch()) : "";
	}

}
