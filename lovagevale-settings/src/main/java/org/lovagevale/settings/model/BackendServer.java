package org.lovagevale.settings.model;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;

/**
 * A backend server of the settings tree.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name, unique in the deployment
 * @param service the service that it runs
 * @param domain its failure domain
 * @param region its region
 * @param host its IP address
 * @param port its TCP port
 * @param out whether it, its failure domain or its region is out of service
 * @param drain whether it receives no new work while running work completes
 */
public record BackendServer(ServerName name, ServiceName service, FailureDomain domain, Region region, String host,
		int port, boolean out, boolean drain) {
}
