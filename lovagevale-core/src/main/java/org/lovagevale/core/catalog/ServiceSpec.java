package org.lovagevale.core.catalog;

import org.lovagevale.base.ServiceName;

/**
 * What the servers of one service have in common.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the service
 * @param healthPath the path of the health check
 * @param maxConnections the most connections that a server accepts from all callers
 * @param warmupMs how long a server stays cold after its start, in milliseconds
 * @param coldRequestsPerSecond what a cold server bears, in requests a second
 */
public record ServiceSpec(ServiceName name, String healthPath, int maxConnections, long warmupMs,
		double coldRequestsPerSecond) {
}
