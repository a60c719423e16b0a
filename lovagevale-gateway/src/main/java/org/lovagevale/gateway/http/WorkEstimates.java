package org.lovagevale.gateway.http;

import java.util.HashMap;
import java.util.Map;

import org.lovagevale.core.catalog.Route;
import org.lovagevale.core.placing.WorkEstimate;

/**
 * How long the requests of each route take.
 *
 * <p>
 * Confined to the event loop.
 */
public final class WorkEstimates {

	/** Routes of former configurations are forgotten above this number. */
	private static final int MAX_ROUTES = 1_000;

	private final Map<String, WorkEstimate> byRoute = new HashMap<>();

	WorkEstimate forRoute(Route route) {
		if (this.byRoute.size() > MAX_ROUTES) {
			this.byRoute.clear();
		}
		return this.byRoute.computeIfAbsent(route.name(), (name) -> new WorkEstimate(route.targetMs()));
	}

}
