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
import org.lovagevale.settings.model.RouteSettings;

/**
 * A route with its server pool and the scopes in which it may be served.
 *
 * <p>
 * Belongs to one version of the settings. Not thread-safe.
 */
final class RouteEntry {

	private final ServicePool pool;

	private final RouteSettings route;

	private final @Nullable Region selfRegion;

	private final Map<Set<Region>, RoutingScope> scopes = new HashMap<>();

	RouteEntry(ServicePool pool, RouteSettings route, @Nullable Region selfRegion) {
		this.pool = pool;
		this.route = route;
		this.selfRegion = selfRegion;
	}

	ServicePool pool() {
		return this.pool;
	}

	RouteSettings route() {
		return this.route;
	}

	Policy policy() {
		return this.route.policy();
	}

	/**
	 * Returns the scope in which the requests of an account may be served.
	 * @param account the account, or {@code null}
	 * @return the scope, which is cached for each set of home regions
	 */
	RoutingScope scopeFor(@Nullable AccountSettings account) {
		Set<Region> homeRegions = (account != null) ? account.homeRegions() : Set.of();
		RoutingScope scope = this.scopes.get(homeRegions);
		if (scope == null) {
			scope = newScope(homeRegions);
			this.scopes.put(homeRegions, scope);
		}
		return scope;
	}

	private RoutingScope newScope(Set<Region> accountRegions) {
		boolean unrestricted = true;
		Set<Region> regions = new HashSet<>();
		for (Set<Region> allowed : List.of(this.pool.policy().homeRegions(), policy().homeRegions(), accountRegions)) {
			if (allowed.isEmpty()) {
				continue;
			}
			if (unrestricted) {
				regions.addAll(allowed);
			}
			else {
				regions.retainAll(allowed);
			}
			unrestricted = false;
		}
		boolean includesSelf = unrestricted || this.selfRegion != null && regions.contains(this.selfRegion);
		return new RoutingScope(this, unrestricted, Set.copyOf(regions), includesSelf,
				serversIn(unrestricted, regions));
	}

	private TrackedServer[] serversIn(boolean unrestricted, Set<Region> regions) {
		List<TrackedServer> allowedServers = new ArrayList<>();
		for (TrackedServer server : this.pool.servers()) {
			if (unrestricted || regions.contains(server.definition().region())) {
				allowedServers.add(server);
			}
		}
		return allowedServers.toArray(new TrackedServer[0]);
	}

}
