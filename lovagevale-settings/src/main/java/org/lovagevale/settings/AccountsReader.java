package org.lovagevale.settings;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.Region;

/**
 * Reads the client accounts; a child account inherits from its parent.
 *
 * <p>
 * Not thread-safe.
 */
final class AccountsReader {

	/** Enough to find the cause; a longer list would hide the other errors. */
	private static final int MAX_ROUTES_IN_ERROR = 5;

	private final ErrorList errors;

	private final GroupReader reader;

	private final UniqueNames names;

	private final List<ResolvedObject> accounts = new ArrayList<>();

	AccountsReader(ErrorList errors, GroupReader reader) {
		this.errors = errors;
		this.reader = reader;
		this.names = new UniqueNames("client account", errors);
	}

	/**
	 * Reads all accounts.
	 * @param root the root of the tree
	 * @param services the services, whose routes must have a region in common with each
	 * account
	 * @return the accounts in the order of the text
	 */
	List<ResolvedObject> read(TreeObject root, List<ResolvedService> services) {
		Values defaults = Values.defaultsOf(SettingsTable.ACCOUNT);
		this.reader.forEachNamed(root, "accounts", (name, account) -> readAccount(name, account, defaults));
		checkHomeRegions(services);
		return this.accounts;
	}

	private void readAccount(String name, TreeObject account, Values inherited) {
		if (this.reader.checkName(name, account.location())) {
			this.names.add(name, account.location());
		}
		Values values = this.reader.read(account, SettingsTable.ACCOUNT, inherited);
		this.accounts.add(new ResolvedObject(account.location(), name, values));
		this.reader.forEachNamed(account, "accounts", (child, node) -> readAccount(child, node, values));
	}

	private void checkHomeRegions(List<ResolvedService> services) {
		Map<Set<Region>, List<ResolvedObject>> routesByRegions = groupRoutesByHomeRegions(services);
		Map<Set<Region>, List<ResolvedObject>> conflictsByRegions = new LinkedHashMap<>();
		for (ResolvedObject account : this.accounts) {
			Set<Region> regions = account.values().homeRegions();
			Location origin = account.values().get("homeRegions").origins().getLast();
			boolean givenHere = origin.path().equals(account.location().path() + "/homeRegions");
			if (givenHere) {
				List<ResolvedObject> conflicts = conflictsByRegions.computeIfAbsent(regions,
						(key) -> conflictsWith(key, routesByRegions));
				addConflictError(account, origin, conflicts);
			}
		}
	}

	private static Map<Set<Region>, List<ResolvedObject>> groupRoutesByHomeRegions(List<ResolvedService> services) {
		Map<Set<Region>, List<ResolvedObject>> groups = new LinkedHashMap<>();
		for (ResolvedService service : services) {
			for (ResolvedObject route : service.routes()) {
				Set<Region> regions = route.values().homeRegions();
				if (!regions.isEmpty()) {
					groups.computeIfAbsent(regions, (key) -> new ArrayList<>()).add(route);
				}
			}
		}
		return groups;
	}

	private static List<ResolvedObject> conflictsWith(Set<Region> regions,
			Map<Set<Region>, List<ResolvedObject>> routesByRegions) {
		List<ResolvedObject> conflicts = new ArrayList<>();
		routesByRegions.forEach((routeRegions, routes) -> {
			if (Collections.disjoint(regions, routeRegions)) {
				conflicts.addAll(routes);
			}
		});
		return conflicts;
	}

	private void addConflictError(ResolvedObject account, Location origin, List<ResolvedObject> conflicts) {
		if (conflicts.isEmpty()) {
			return;
		}
		StringBuilder reason = new StringBuilder("client account \"" + account.name() + "\" with home regions "
				+ RegionText.of(account.values().homeRegions()) + " has no region in common with ");
		for (ResolvedObject route : conflicts.subList(0, Math.min(conflicts.size(), MAX_ROUTES_IN_ERROR))) {
			reason.append("route ")
				.append(route.location())
				.append(" with ")
				.append(RegionText.of(route.values().homeRegions()))
				.append(", ");
		}
		int more = conflicts.size() - MAX_ROUTES_IN_ERROR;
		reason.append((more > 0) ? "and " + more + " more" : "");
		this.errors.add(origin, reason.toString().replaceFirst(", $", ""));
	}

}
