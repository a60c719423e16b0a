package org.lovagevale.core.catalog;

import org.lovagevale.base.ServiceName;

/**
 * The specification that all servers of one service share.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the service
 * @param healthPath the path of the health check
 * @param maxConnections the maximum number of connections that a server accepts in total
 * @param warmupMs the time for which a server stays cold after its start, in milliseconds
 * @param coldRequestsPerSecond the requests per second that a cold server can handle
 */
public record ServiceSpec(ServiceName name, String healthPath, int maxConnections, long warmupMs,
		double coldRequestsPerSecond) {
}
