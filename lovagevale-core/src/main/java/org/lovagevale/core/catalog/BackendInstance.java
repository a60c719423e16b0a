package org.lovagevale.core.catalog;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;

/**
 * One lifetime of a backend server as it was published.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identity that requests name
 * @param service the service it belongs to
 * @param host its IP number
 * @param port its TCP port
 * @param domain its failure domain
 * @param region its region
 * @param slots how many requests it runs at once
 * @param draining whether it is about to leave
 * @param warmupLeftMs how long it stays cold from the time of publication, in
 * milliseconds
 * @param startedAtEpochMs the start of this lifetime by its own clock, 0 if unknown
 */
public record BackendInstance(ServerName id, ServiceName service, String host, int port, FailureDomain domain,
		Region region, int slots, boolean draining, long warmupLeftMs, long startedAtEpochMs) {
}
