package org.lovagevale.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Reads the regions, failure domains and entry VMs of a tree.
 *
 * <p>
 * Not thread-safe.
 */
final class RegionsReader {

	private static final List<String> PORT_SETTINGS = List.of("callerPort", "peerPort", "adminPort");

	private final ErrorList errors;

	private final GroupReader reader;

	private final UniquenessCheck uniqueDomainNames;

	private final UniquenessCheck uniqueVmAndServerNames;

	private final UniquenessCheck uniqueAddresses;

	private final List<ResolvedObject> regions = new ArrayList<>();

	private final Map<String, ResolvedObject> domains = new LinkedHashMap<>();

	private final List<ResolvedObject> entryVms = new ArrayList<>();

	RegionsReader(ErrorList errors, GroupReader reader, UniquenessCheck uniqueVmAndServerNames,
			UniquenessCheck uniqueAddresses) {
		this.errors = errors;
		this.reader = reader;
		this.uniqueDomainNames = new UniquenessCheck("failure domain", errors);
		this.uniqueVmAndServerNames = uniqueVmAndServerNames;
		this.uniqueAddresses = uniqueAddresses;
	}

	void read(TreeObject root) {
		this.reader.forEachChild(root, "regions", this::readRegion);
		TreeNode node = root.member("regions");
		if (node instanceof TreeObject && this.entryVms.isEmpty()) {
			this.errors.add(node.location(), "no entry VM in any region; expected at least one");
		}
	}

	List<ResolvedObject> regions() {
		return this.regions;
	}

	List<ResolvedObject> domains() {
		return List.copyOf(this.domains.values());
	}

	List<ResolvedObject> entryVms() {
		return this.entryVms;
	}

	Set<String> domainNames() {
		return this.domains.keySet();
	}

	@Nullable ResolvedObject domain(String name) {
		return this.domains.get(name);
	}

	private void readRegion(String name, TreeObject region) {
		this.reader.checkName(name, region.location());
		Values values = this.reader.read(region, SettingsTable.REGION, Values.defaultsOf(SettingsTable.REGION));
		ResolvedObject resolved = new ResolvedObject(region.location(), name, values);
		this.regions.add(resolved);
		this.reader.forEachChild(region, "domains", (domain, node) -> readDomain(resolved, domain, node));
	}

	private void readDomain(ResolvedObject region, String name, TreeObject domain) {
		if (this.reader.checkName(name, domain.location())) {
			this.uniqueDomainNames.add(name, domain.location());
		}
		Values inherited = Values.defaultsOf(SettingsTable.DOMAIN).with("out", region.values().get("out"));
		Values values = this.reader.read(domain, SettingsTable.DOMAIN, inherited)
			.with("region", new Value(region.name(), List.of(region.location())));
		ResolvedObject resolved = new ResolvedObject(domain.location(), name, values);
		this.domains.putIfAbsent(name, resolved);
		this.reader.forEachChild(domain, "entryVms", (vm, node) -> readEntryVm(resolved, vm, node));
	}

	private void readEntryVm(ResolvedObject domain, String name, TreeObject vm) {
		if (this.reader.checkName(name, vm.location())) {
			this.uniqueVmAndServerNames.add(name, vm.location());
		}
		Values inherited = Values.defaultsOf(SettingsTable.ENTRY_VM).with("out", domain.values().get("out"));
		Values values = this.reader.read(vm, SettingsTable.ENTRY_VM, inherited)
			.with("domain", new Value(domain.name(), List.of(domain.location())))
			.with("region", domain.values().get("region"));
		PORT_SETTINGS.forEach((portSetting) -> addAddress(values, portSetting));
		this.entryVms.add(new ResolvedObject(vm.location(), name, values));
	}

	private void addAddress(Values values, String portSetting) {
		if (values.has("host") && values.has(portSetting)) {
			this.uniqueAddresses.add(Endpoints.toText(values.text("host"), values.integer(portSetting)),
					values.get(portSetting).origins().getFirst());
		}
	}

}
