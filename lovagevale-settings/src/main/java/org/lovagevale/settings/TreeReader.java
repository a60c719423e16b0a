package org.lovagevale.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads and checks a settings tree and computes its effective values.
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
	 * @throws SettingsException with all errors, if the tree has any
	 */
	ResolvedTree read(String content) throws SettingsException {
		ErrorList errors = new ErrorList();
		TreeObject root = this.parser.parse(content, errors);
		ResolvedTree tree = read(root, errors);
		errors.throwIfAny();
		return tree;
	}

	private static Map<String, SettingGroup> groups() {
		Map<String, SettingGroup> groups = new LinkedHashMap<>();
		for (SettingGroup group : List.of(SettingsTable.EXCHANGE, SettingsTable.KEYS, SettingsTable.QUARANTINE,
				SettingsTable.MEASURING, SettingsTable.ADDRESSES)) {
			groups.put(group.path(), group);
		}
		return groups;
	}

	private static ResolvedTree read(TreeObject root, ErrorList errors) {
		GroupReader reader = new GroupReader(errors, regionNames(root));
		UniquenessCheck uniqueVmAndServerNames = new UniquenessCheck("entry VM or backend server", errors);
		UniquenessCheck uniqueAddresses = new UniquenessCheck("address", errors);
		ResolvedObject rootObject = new ResolvedObject(root.location(), "",
				reader.read(root, SettingsTable.ROOT, Values.defaultsOf(SettingsTable.ROOT)));
		checkRequiredMembers(root, errors);
		ResolvedObject defaults = readGroup(root, "defaults", SettingsTable.POLICY, reader);
		RegionsReader regionsReader = new RegionsReader(errors, reader, uniqueVmAndServerNames, uniqueAddresses);
		regionsReader.read(root);
		List<ResolvedService> services = new ServicesReader(errors, reader, regionsReader, uniqueVmAndServerNames,
				uniqueAddresses)
			.read(root, defaults.values());
		List<ResolvedObject> accounts = new AccountsReader(errors, reader).read(root, services);
		Map<String, ResolvedObject> groups = new LinkedHashMap<>();
		GROUPS.forEach((name, group) -> groups.put(name, readGroup(root, name, group, reader)));
		checkGroups(groups, errors);
		return new ResolvedTree(rootObject, defaults, regionsReader.regions(), regionsReader.domains(),
				regionsReader.entryVms(), services, accounts, groups);
	}

	private static Set<String> regionNames(TreeObject root) {
		return (root.member("regions") instanceof TreeObject regions) ? regions.members().keySet() : Set.of();
	}

	private static void checkRequiredMembers(TreeObject root, ErrorList errors) {
		for (String name : List.of("regions", "services")) {
			if (root.member(name) == null) {
				errors.add(root.location(), "missing member \"" + name + "\"");
			}
		}
	}

	private static ResolvedObject readGroup(TreeObject root, String name, SettingGroup group, GroupReader reader) {
		TreeNode node = root.member(name);
		Values values = reader.read(node, group, Values.defaultsOf(group));
		return new ResolvedObject((node != null) ? node.location() : new Location(name, 0, 0), name, values);
	}

	private static void checkGroups(Map<String, ResolvedObject> groups, ErrorList errors) {
		Values exchange = valuesOf(groups, "exchange");
		ConsistencyChecks checks = new ConsistencyChecks(errors);
		checks.checkLonger(exchange, "digestMs", "unreachableMs");
		checks.checkLonger(exchange, "watchMs", "selfReadMs");
		checks.checkLonger(exchange, "selfReadMs", "fenceMs");
		checks.checkColdWindow(exchange, valuesOf(groups, "measuring"));
	}

	private static Values valuesOf(Map<String, ResolvedObject> groups, String name) {
		ResolvedObject group = groups.get(name);
		if (group == null) {
			throw new IllegalStateException("the settings tree has no group " + name);
		}
		return group.values();
	}

}
