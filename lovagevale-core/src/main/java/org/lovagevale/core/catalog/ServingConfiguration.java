package org.lovagevale.core.catalog;

import java.util.Map;

import org.lovagevale.base.ServiceName;

/**
 * One version of what operators ask for.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version, higher is newer
 * @param routes the routes
 * @param services the services by name
 * @param limits what callers may send
 */
public record ServingConfiguration(long version, RouteTable routes, Map<ServiceName, ServiceSpec> services,
		RequestLimits limits) {

	/**
	 * Copies the services.
	 */
	public ServingConfiguration {
		services = Map.copyOf(services);
	}

}
