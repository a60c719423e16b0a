package org.lovagevale.settings.model;

import java.util.List;

import org.lovagevale.base.ServiceName;

/**
 * A service as published.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name
 * @param policy the effective policy where no route says otherwise
 * @param routes the routes; the longest matching prefix wins, a named method before "*"
 * @param servers the backend servers, in order of name
 */
public record ServiceSettings(ServiceName name, Policy policy, List<Route> routes, List<BackendServer> servers) {

	/**
	 * Copies the lists.
	 */
	public ServiceSettings {
		routes = List.copyOf(routes);
		servers = List.copyOf(servers);
	}

}
