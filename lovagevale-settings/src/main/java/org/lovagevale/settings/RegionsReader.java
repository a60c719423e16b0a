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

	private final UniqueNames domainNames;

	private final UniqueNames machineNames;

	private final UniqueNames addresses;

	private final List<ResolvedObject> regions = new ArrayList<>();

	private final Map<String, ResolvedObject> domains = new LinkedHashMap<>();

	private final List<ResolvedObject> entryVms = new ArrayList<>();

	RegionsReader(ErrorList errors, GroupReader reader, UniqueNames machineNames, UniqueNames addresses) {
		this.errors = errors;
		this.reader = reader;
		this.domainNames = new UniqueNames("failure domain", errors);
		this.machineNames = machineNames;
		this.addresses = addresses;
	}

	void read(TreeObject root) {
		this.reader.forEachNamed(root, "regions", this::readRegion);
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
		this.reader.forEachNamed(region, "domains", (domain, node) -> readDomain(resolved, domain, node));
	}

	private void readDomain(ResolvedObject region, String name, TreeObject domain) {
		if (this.reader.checkName(name, domain.location())) {
			this.domainNames.add(name, domain.location());
		}
		Values inherited = Values.defaultsOf(SettingsTable.DOMAIN).with("out", region.values().get("out"));
		Values values = this.reader.read(domain, SettingsTable.DOMAIN, inherited)
			.with("region", new Value(region.name(), List.of(region.location())));
		ResolvedObject resolved = new ResolvedObject(domain.location(), name, values);
		this.domains.putIfAbsent(name, resolved);
		this.reader.forEachNamed(domain, "entryVms", (vm, node) -> readEntryVm(resolved, vm, node));
	}

	private void readEntryVm(ResolvedObject domain, String name, TreeObject vm) {
		if (this.reader.checkName(name, vm.location())) {
			this.machineNames.add(name, vm.location());
		}
		Values inherited = Values.defaultsOf(SettingsTable.ENTRY_VM).with("out", domain.values().get("out"));
		Values values = this.reader.read(vm, SettingsTable.ENTRY_VM, inherited)
			.with("domain", new Value(domain.name(), List.of(domain.location())))
			.with("region", domain.values().get("region"));
		PORT_SETTINGS.forEach((port) -> addAddress(values, port));
		this.entryVms.add(new ResolvedObject(vm.location(), name, values));
	}

	private void addAddress(Values values, String port) {
		if (values.has("host") && values.has(port)) {
			this.addresses.add(Endpoints.toText(values.text("host"), values.integer(port)),
					values.get(port).origins().getFirst());
		}
	}

}
