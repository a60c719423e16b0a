package org.lovagevale.settings.model;

import java.util.List;

import org.lovagevale.base.ServiceName;

/**
 * A service of the settings tree.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name
 * @param policy the effective policy, which routes may override
 * @param routes the routes; the longest matching prefix takes precedence, then a named
 * method over "*"
 * @param servers the backend servers, in order of name
 */
public record ServiceSettings(ServiceName name, Policy policy, List<RouteSettings> routes,
		List<BackendServer> servers) {

	/**
	 * Copies the lists.
	 */
	public ServiceSettings {
		routes = List.copyOf(routes);
		servers = List.copyOf(servers);
	}

}
