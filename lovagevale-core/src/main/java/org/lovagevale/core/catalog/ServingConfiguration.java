package org.lovagevale.core.catalog;

import java.util.Map;

import org.jspecify.annotations.Nullable;
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
 * @param accounts the client accounts; {@code null} if requests need no credential
 */
public record ServingConfiguration(long version, RouteTable routes, Map<ServiceName, ServiceSpec> services,
		RequestLimits limits, @Nullable AccountTable accounts) {

	/**
	 * Copies the services.
	 */
	public ServingConfiguration {
		services = Map.copyOf(services);
	}

	/**
	 * Creates a configuration without client accounts.
	 * @param version the version, higher is newer
	 * @param routes the routes
	 * @param services the services by name
	 * @param limits the limits on requests from callers
	 */
	public ServingConfiguration(long version, RouteTable routes, Map<ServiceName, ServiceSpec> services,
			RequestLimits limits) {
		this(version, routes, services, limits, null);
	}

}
