package org.lovagevale.core.placing;

import java.util.Set;

import org.lovagevale.base.Region;

/**
 * A kind of simulated requests.
 *
 * @param route the name of the route
 * @param requestsPerSecond the usual rate in each region
 * @param workMs the usual processing time in milliseconds
 * @param targetMs the target latency in milliseconds
 * @param timeoutMs the timeout in milliseconds
 * @param priority the priority, 0 being the highest
 * @param repeatable whether its requests are cancelled at the server when they time out
 * @param bodyBytes the size of the request body
 * @param homeRegions the home regions, empty for all
 */
record SimulatedKind(String route, double requestsPerSecond, int workMs, int targetMs, int timeoutMs, int priority,
		boolean repeatable, int bodyBytes, Set<Region> homeRegions) {

	static SimulatedKind of(String route, double requestsPerSecond, int workMs, int targetMs, int timeoutMs,
			int priority, boolean repeatable) {
		return new SimulatedKind(route, requestsPerSecond, workMs, targetMs, timeoutMs, priority, repeatable, 0,
				Set.of());
	}

}
