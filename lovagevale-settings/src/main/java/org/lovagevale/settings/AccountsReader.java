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

	/** Enough to find the cause; longer messages would obscure the other errors. */
	private static final int MAX_ROUTES_IN_ERROR = 5;

	private final ErrorList errors;

	private final GroupReader reader;

	private final UniquenessCheck uniqueNames;

	private final List<ResolvedObject> accounts = new ArrayList<>();

	AccountsReader(ErrorList errors, GroupReader reader) {
		this.errors = errors;
		this.reader = reader;
		this.uniqueNames = new UniquenessCheck("client account", errors);
	}

	/**
	 * Reads all accounts.
	 * @param root the root of the tree
	 * @param services the services; each of their routes must have a region in common
	 * with each account
	 * @return the accounts in document order
	 */
	List<ResolvedObject> read(TreeObject root, List<ResolvedService> services) {
		Values defaults = Values.defaultsOf(SettingsTable.ACCOUNT);
		this.reader.forEachChild(root, "accounts", (name, account) -> readAccount(name, account, defaults));
		checkHomeRegions(services);
		return this.accounts;
	}

	private void readAccount(String name, TreeObject account, Values inherited) {
		if (this.reader.checkName(name, account.location())) {
			this.uniqueNames.add(name, account.location());
		}
		Values values = this.reader.read(account, SettingsTable.ACCOUNT, inherited);
		this.accounts.add(new ResolvedObject(account.location(), name, values));
		this.reader.forEachChild(account, "accounts", (child, node) -> readAccount(child, node, values));
	}

	private void checkHomeRegions(List<ResolvedService> services) {
		Map<Set<Region>, List<ResolvedObject>> routesByRegions = groupRoutesByHomeRegions(services);
		Map<Set<Region>, List<ResolvedObject>> conflictsByRegions = new LinkedHashMap<>();
		for (ResolvedObject account : this.accounts) {
			Set<Region> regions = account.values().homeRegions();
			Location origin = account.values().get("homeRegions").origins().getLast();
			// Inherited home regions are checked in the account that sets them.
			boolean setOnAccount = origin.path().equals(account.location().path() + "/homeRegions");
			if (setOnAccount) {
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
		int omitted = conflicts.size() - MAX_ROUTES_IN_ERROR;
		reason.append((omitted > 0) ? "and " + omitted + " more" : "");
		this.errors.add(origin, reason.toString().replaceFirst(", $", ""));
	}

}
