package org.lovagevale.core.request;

import java.util.Set;

import org.lovagevale.base.Region;
import org.lovagevale.settings.model.BackendServer;

/**
 * Where the requests of a route and of accounts with the same home regions may be served.
 *
 * <p>
 * Immutable; belongs to one version of the settings.
 *
 * @param route the route
 * @param open whether there are no home regions
 * @param regions the home regions; with {@code open} empty, else those allowed, perhaps
 * none
 * @param selfInside whether this VM is inside
 * @param servers the backend servers inside
 */
record Scope(RouteEntry route, boolean open, Set<Region> regions, boolean selfInside, TrackedServer[] servers) {

	ServicePool pool() {
		return this.route.pool();
	}

	boolean isInside(BackendServer server) {
		return this.open || this.regions.contains(server.region());
	}

	/**
	 * Tells whether any backend server may get work now or once it is warm.
	 * @param request the request, whose earlier servers do not count
	 * @return {@code true} if waiting may help
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
