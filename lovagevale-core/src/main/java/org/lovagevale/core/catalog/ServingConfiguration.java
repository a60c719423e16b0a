package org.lovagevale.core.catalog;

import java.util.Map;

import org.lovagevale.base.ServiceName;

/**
 * One version of the configuration that operators publish.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version, higher is newer
 * @param routes the routes
 * @param services the services by name
 * @param limits the limits on requests from callers
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
