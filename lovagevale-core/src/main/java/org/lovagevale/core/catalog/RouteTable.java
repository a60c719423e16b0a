package org.lovagevale.core.catalog;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Finds the route of a host and path.
 *
 * <p>
 * Invariant: of the routes of a host whose prefix matches the path, the one with the
 * longest prefix is found. Immutable and thread-safe.
 */
public final class RouteTable {

	private final Map<String, List<Route>> byHost = new HashMap<>();

	private final List<Route> routes;

	private RouteTable(List<Route> routes) {
		this.routes = List.copyOf(routes);
		for (Route route : routes) {
			this.byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route);
		}
		Comparator<Route> longestFirst = Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
		this.byHost.values().forEach((list) -> list.sort(longestFirst));
	}

	/**
	 * Creates a table.
	 * @param routes the routes
	 * @return the table
	 */
	public static RouteTable of(List<Route> routes) {
		return new RouteTable(routes);
	}

	/**
	 * Returns all routes.
	 * @return the routes in the order in which they were given
	 */
	public List<Route> routes() {
		return this.routes;
	}

	/**
	 * Finds the route of a request.
	 * @param host the host, with or without a port
	 * @param path the path without the query
	 * @return the route, or {@code null} if none matches
	 */
	public @Nullable Route find(String host, String path) {
		List<Route> candidates = this.byHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
		if (candidates == null) {
			return null;
		}
		for (Route route : candidates) {
			if (path.startsWith(route.prefix())) {
				return route;
			}
		}
		return null;
	}

	private static String withoutPort(String host) {
		int colon = host.lastIndexOf(':');
		return (colon > host.lastIndexOf(']')) ? host.substring(0, colon) : host;
	}

}
