package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;
import org.lovagevale.settings.model.AccountSettings;
import org.lovagevale.settings.model.Policy;
import org.lovagevale.settings.model.Route;

/**
 * A route prepared for requests.
 *
 * <p>
 * Belongs to one version of the settings. Not thread-safe.
 */
final class RouteEntry {

	private final ServicePool pool;

	private final Route route;

	private final @Nullable Region selfRegion;

	private final Map<Set<Region>, Scope> scopes = new HashMap<>();

	RouteEntry(ServicePool pool, Route route, @Nullable Region selfRegion) {
		this.pool = pool;
		this.route = route;
		this.selfRegion = selfRegion;
	}

	ServicePool pool() {
		return this.pool;
	}

	Route route() {
		return this.route;
	}

	Policy policy() {
		return this.route.policy();
	}

	/**
	 * Returns where the requests of an account may be served.
	 * @param account the account, or {@code null}
	 * @return the scope, computed once for each set of home regions
	 */
	Scope scopeFor(@Nullable AccountSettings account) {
		Set<Region> home = (account != null) ? account.homeRegions() : Set.of();
		Scope scope = this.scopes.get(home);
		if (scope == null) {
			scope = newScope(home);
			this.scopes.put(home, scope);
		}
		return scope;
	}

	private Scope newScope(Set<Region> accountRegions) {
		boolean open = true;
		Set<Region> regions = new HashSet<>();
		for (Set<Region> given : List.of(this.pool.policy().homeRegions(), policy().homeRegions(), accountRegions)) {
			if (given.isEmpty()) {
				continue;
			}
			if (open) {
				regions.addAll(given);
			}
			else {
				regions.retainAll(given);
			}
			open = false;
		}
		boolean inside = open || this.selfRegion != null && regions.contains(this.selfRegion);
		return new Scope(this, open, Set.copyOf(regions), inside, serversIn(open, regions));
	}

	private TrackedServer[] serversIn(boolean open, Set<Region> regions) {
		List<TrackedServer> inside = new ArrayList<>();
		for (TrackedServer server : this.pool.servers()) {
			if (open || regions.contains(server.definition().region())) {
				inside.add(server);
			}
		}
		return inside.toArray(new TrackedServer[0]);
	}

}
