package org.lovagevale.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads and checks a whole tree and computes its effective values.
 *
 * <p>
 * Thread-safe.
 */
final class TreeReader {

	private static final Map<String, SettingGroup> GROUPS = groups();

	private final TreeParser parser = new TreeParser();

	/**
	 * Reads a tree.
	 * @param content the tree as JSON with comments
	 * @return its effective values
	 * @throws SettingsException with every error, if the tree has any
	 */
	TreeContent read(String content) throws SettingsException {
		ErrorList errors = new ErrorList();
		TreeObject root = this.parser.parse(content, errors);
		TreeContent read = read(root, errors);
		errors.throwIfAny();
		return read;
	}

	private static Map<String, SettingGroup> groups() {
		Map<String, SettingGroup> groups = new LinkedHashMap<>();
		for (SettingGroup group : List.of(SettingsTable.EXCHANGE, SettingsTable.KEYS, SettingsTable.QUARANTINE,
				SettingsTable.MEASURING, SettingsTable.ADDRESSES)) {
			groups.put(group.place(), group);
		}
		return groups;
	}

	private static TreeContent read(TreeObject root, ErrorList errors) {
		GroupReader reader = new GroupReader(errors, regionNames(root));
		UniqueNames machines = new UniqueNames("entry VM or backend server", errors);
		UniqueNames addresses = new UniqueNames("address", errors);
		Place top = new Place(root.location(), "",
				reader.read(root, SettingsTable.ROOT, Values.defaultsOf(SettingsTable.ROOT)));
		checkRequired(root, errors);
		Place defaults = readGroup(root, "defaults", SettingsTable.POLICY, reader);
		FleetReader fleet = new FleetReader(errors, reader, machines, addresses);
		fleet.read(root);
		List<ServicePlace> services = new ServicesReader(errors, reader, fleet, machines, addresses).read(root,
				defaults.values());
		List<Place> accounts = new AccountsReader(errors, reader).read(root, services);
		Map<String, Place> groups = new LinkedHashMap<>();
		GROUPS.forEach((name, group) -> groups.put(name, readGroup(root, name, group, reader)));
		checkGroups(groups, errors);
		return new TreeContent(top, defaults, fleet.regions(), fleet.domains(), fleet.entryVms(), services, accounts,
				groups);
	}

	private static Set<String> regionNames(TreeObject root) {
		return (root.member("regions") instanceof TreeObject regions) ? regions.members().keySet() : Set.of();
	}

	private static void checkRequired(TreeObject root, ErrorList errors) {
		for (String name : List.of("regions", "services")) {
			if (root.member(name) == null) {
				errors.add(root.location(), "missing member \"" + name + "\"");
			}
		}
	}

	private static Place readGroup(TreeObject root, String name, SettingGroup group, GroupReader reader) {
		TreeNode node = root.member(name);
		Values values = reader.read(node, group, Values.defaultsOf(group));
		return new Place((node != null) ? node.location() : new Location(name, 0, 0), name, values);
	}

	private static void checkGroups(Map<String, Place> groups, ErrorList errors) {
		Values exchange = valuesOf(groups, "exchange");
		PolicyChecks checks = new PolicyChecks(errors);
		checks.checkLonger(exchange, "digestMs", "unreachableMs");
		checks.checkLonger(exchange, "watchMs", "selfReadMs");
		checks.checkLonger(exchange, "selfReadMs", "fenceMs");
		checks.checkColdWindow(exchange, valuesOf(groups, "measuring"));
	}

	private static Values valuesOf(Map<String, Place> groups, String name) {
		Place place = groups.get(name);
		if (place == null) {
			throw new IllegalStateException("no group " + name);
		}
		return place.values();
	}

}
