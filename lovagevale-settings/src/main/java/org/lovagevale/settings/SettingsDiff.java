package org.lovagevale.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Stream;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ServiceName;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.DomainSettings;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.Policy;
import org.lovagevale.settings.model.RouteSettings;
import org.lovagevale.settings.model.ServiceSettings;
import org.lovagevale.settings.model.Settings;

/**
 * Computes the differences between two versions of the settings.
 *
 * <p>
 * A change that only results from another one in the list is omitted: a server or VM that
 * goes out of service or comes back with its failure domain, and a policy value that a
 * route inherits from its service. Not thread-safe.
 */
public final class SettingsDiff {

	/**
	 * The record components with change kinds of their own; a difference in another
	 * component is reported as {@link ChangeKind#MOVED}.
	 */
	private static final Set<String> STATE_COMPONENTS = Set.of("out", "drain");

	private final Settings older;

	private final Settings newer;

	private final List<SettingsChange> changes = new ArrayList<>();

	private SettingsDiff(Settings older, Settings newer) {
		this.older = older;
		this.newer = newer;
	}

	/**
	 * Compares two versions of the settings.
	 * @param older the older version
	 * @param newer the newer version
	 * @return the differences, ordered by the type of the changed object
	 */
	public static List<SettingsChange> between(Settings older, Settings newer) {
		SettingsDiff diff = new SettingsDiff(older, newer);
		diff.compareDeployment();
		diff.compareDomains();
		diff.compareEntryVms();
		diff.compareServices();
		diff.compareServers();
		diff.compareAccounts();
		diff.compareGroups();
		return List.copyOf(diff.changes);
	}

	private void compareDeployment() {
		if (!this.older.deployment().equals(this.newer.deployment())) {
			add(ChangeKind.CHANGED, "deployment", this.newer.deployment(),
					"name " + this.older.deployment() + " -> " + this.newer.deployment(), List.of());
		}
	}

	private void compareDomains() {
		compare("failure domain", this.older.domains(), this.newer.domains(), DomainSettings::name, this::servicesIn,
				(before, after, services) -> {
					String name = after.name().value();
					if (before.out() != after.out()) {
						add(after.out() ? ChangeKind.OUT : ChangeKind.BACK, "failure domain", name, "", services);
					}
					if (!before.region().equals(after.region())) {
						add(ChangeKind.MOVED, "failure domain", name,
								"region " + before.region() + " -> " + after.region(), services);
					}
				});
	}

	private void compareEntryVms() {
		compare("entry VM", this.older.entryVms(), this.newer.entryVms(), EntryVm::name, (vm) -> List.of(),
				(before, after, services) -> {
					String name = after.name().value();
					compareOut("entry VM", name, new OutState(before.out(), before.domain()),
							new OutState(after.out(), after.domain()), services);
					addMove("entry VM", name, before, after, services);
				});
	}

	private void compareServers() {
		compare("backend server", serversOf(this.older), serversOf(this.newer), BackendServer::name,
				(server) -> List.of(server.service()), (before, after, services) -> {
					String name = after.name().value();
					compareOut("backend server", name, new OutState(before.out(), before.domain()),
							new OutState(after.out(), after.domain()), services);
					if (before.drain() != after.drain()) {
						add(after.drain() ? ChangeKind.DRAINED : ChangeKind.UNDRAINED, "backend server", name, "",
								services);
					}
					addMove("backend server", name, before, after, services);
				});
	}

	private void compareOut(String type, String name, OutState before, OutState after,
			Collection<ServiceName> services) {
		if (!before.out() && after.out() && !isDomainOut(this.newer, after.domain())) {
			add(ChangeKind.OUT, type, name, "", services);
		}
		if (before.out() && !after.out() && !isDomainOut(this.older, before.domain())) {
			add(ChangeKind.BACK, type, name, "", services);
		}
	}

	private void addMove(String type, String name, Record before, Record after, Collection<ServiceName> services) {
		List<String> differences = RecordDiff.describe(before, after, STATE_COMPONENTS);
		if (!differences.isEmpty()) {
			add(ChangeKind.MOVED, type, name, String.join(", ", differences), services);
		}
	}

	private void compareServices() {
		compare("service", this.older.services(), this.newer.services(), ServiceSettings::name,
				(service) -> List.of(service.name()), (before, after, services) -> {
					List<String> policyChanges = describePolicy(before.policy(), after.policy());
					policyChanges.forEach((difference) -> add(ChangeKind.CHANGED, "service", after.name().value(),
							difference, services));
					compareRoutes(before, after, policyChanges);
				});
	}

	private void compareRoutes(ServiceSettings before, ServiceSettings after, List<String> inheritedChanges) {
		compare("route", before.routes(), after.routes(), RouteSettings::name, (route) -> List.of(after.name()),
				(earlier, later, services) -> {
					if (earlier.idempotent() != later.idempotent()) {
						add(ChangeKind.CHANGED, "route", later.name(),
								"idempotent " + earlier.idempotent() + " -> " + later.idempotent(), services);
					}
					describePolicy(earlier.policy(), later.policy()).stream()
						.filter((difference) -> !inheritedChanges.contains(difference))
						.forEach((difference) -> add(ChangeKind.CHANGED, "route", later.name(), difference, services));
				});
	}

	private static List<String> describePolicy(Policy before, Policy after) {
		return RecordDiff.describe(before, after, Set.of());
	}

	private void compareAccounts() {
		compare("client account", this.older.accounts(), this.newer.accounts(), (account) -> account.name().value(),
				(account) -> List.of(),
				(before, after, services) -> RecordDiff.describe(before, after, Set.of())
					.forEach((difference) -> add(ChangeKind.CHANGED, "client account", after.name().value(), difference,
							services)));
	}

	private void compareGroups() {
		compareGroup("exchange", this.older.exchange(), this.newer.exchange());
		compareGroup("keys", this.older.keys(), this.newer.keys());
		compareGroup("quarantine", this.older.quarantine(), this.newer.quarantine());
		compareGroup("measuring", this.older.measuring(), this.newer.measuring());
		compareGroup("addresses", this.older.addresses(), this.newer.addresses());
	}

	private void compareGroup(String name, Record before, Record after) {
		RecordDiff.describe(before, after, Set.of())
			.forEach((difference) -> add(ChangeKind.CHANGED, "group", name, difference, List.of()));
	}

	private <T> void compare(String type, List<T> before, List<T> after, Function<T, Object> nameOf,
			Function<T, Collection<ServiceName>> servicesOf, PairComparison<T> comparison) {
		Map<String, T> old = byName(before, nameOf);
		Map<String, T> current = byName(after, nameOf);
		old.forEach((name, item) -> {
			if (!current.containsKey(name)) {
				add(ChangeKind.REMOVED, type, name, "", servicesOf.apply(item));
			}
		});
		current.forEach((name, item) -> {
			T earlier = old.get(name);
			if (earlier == null) {
				add(ChangeKind.ADDED, type, name, "", servicesOf.apply(item));
			}
			else if (!earlier.equals(item)) {
				Set<ServiceName> services = new TreeSet<>(servicesOf.apply(earlier));
				services.addAll(servicesOf.apply(item));
				comparison.compare(earlier, item, services);
			}
		});
	}

	private static <T> Map<String, T> byName(List<T> items, Function<T, Object> nameOf) {
		Map<String, T> map = new TreeMap<>();
		items.forEach((item) -> map.put(nameOf.apply(item).toString(), item));
		return map;
	}

	private static List<BackendServer> serversOf(Settings settings) {
		return settings.services().stream().flatMap((service) -> service.servers().stream()).toList();
	}

	private Set<ServiceName> servicesIn(DomainSettings domain) {
		Set<ServiceName> services = new TreeSet<>();
		Stream.of(this.older, this.newer)
			.flatMap((settings) -> serversOf(settings).stream())
			.filter((server) -> server.domain().equals(domain.name()))
			.forEach((server) -> services.add(server.service()));
		return services;
	}

	private static boolean isDomainOut(Settings settings, FailureDomain name) {
		return settings.domains().stream().anyMatch((domain) -> domain.name().equals(name) && domain.out());
	}

	private void add(ChangeKind kind, String type, String subject, String detail, Collection<ServiceName> services) {
		this.changes.add(new SettingsChange(kind, type, subject, detail, List.copyOf(services)));
	}

	private record OutState(boolean out, FailureDomain domain) {
	}

	@FunctionalInterface
	private interface PairComparison<T> {

		void compare(T before, T after, Collection<ServiceName> services);

	}

}
