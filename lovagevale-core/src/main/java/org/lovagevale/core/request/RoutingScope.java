package org.lovagevale.core.request;

import java.util.Set;

import org.lovagevale.base.Region;
import org.lovagevale.settings.model.BackendServer;

/**
 * The regions and backend servers that may serve the requests of a route for accounts
 * with the same home regions.
 *
 * <p>
 * Immutable. Belongs to one version of the settings.
 *
 * @param route the route
 * @param unrestricted whether no home regions are set, so that every region is allowed
 * @param regions the allowed regions, possibly none; empty if {@code unrestricted}
 * @param includesSelf whether the region of this VM is allowed
 * @param servers the backend servers in the allowed regions
 */
record RoutingScope(RouteEntry route, boolean unrestricted, Set<Region> regions, boolean includesSelf,
		TrackedServer[] servers) {

	ServiceState service() {
		return this.route.service();
	}

	boolean contains(BackendServer server) {
		return this.unrestricted || this.regions.contains(server.region());
	}

	/**
	 * Returns whether a backend server of this scope can serve a request now or later.
	 * @param request the request; servers that it has already tried are ignored
	 * @return {@code true} if there is such a server
	 */
	boolean hasServerFor(ActiveRequest request) {
		for (TrackedServer server : this.servers) {
			if (server.isInService() && !request.hasTried(server)) {
				return true;
			}
		}
		return false;
	}

}
