package org.lovagevale.gateway.http;

import java.util.HashMap;
import java.util.Map;

import org.lovagevale.core.catalog.Route;
import org.lovagevale.core.placing.WorkEstimate;

/**
 * The estimated durations of requests, by route.
 *
 * <p>
 * Confined to the event loop.
 */
public final class WorkEstimates {

	/**
	 * Number of routes above which all estimates are discarded, so that routes of former
	 * configurations do not accumulate.
	 */
	private static final int MAX_ROUTES = 1_000;

	private final Map<String, WorkEstimate> byRoute = new HashMap<>();

	WorkEstimate forRoute(Route route) {
		if (this.byRoute.size() > MAX_ROUTES) {
			this.byRoute.clear();
		}
		return this.byRoute.computeIfAbsent(route.name(), (name) -> new WorkEstimate(route.targetMs()));
	}

}
