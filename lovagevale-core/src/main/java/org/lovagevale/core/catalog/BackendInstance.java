package org.lovagevale.core.catalog;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;

/**
 * One run of a backend server, as published by the platform.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identity of the server, which is sent with each request to it
 * @param service the service it belongs to
 * @param host its IP address
 * @param port its TCP port
 * @param domain its failure domain
 * @param region its region
 * @param slots the number of requests that it executes at once
 * @param draining whether it is about to shut down and takes no new requests
 * @param warmupLeftMs the time for which it stays cold after publication, in milliseconds
 * @param startedAtEpochMs the start of this run by its own clock, in milliseconds since
 * the epoch; 0 if unknown
 */
public record BackendInstance(ServerName id, ServiceName service, String host, int port, FailureDomain domain,
		Region region, int slots, boolean draining, long warmupLeftMs, long startedAtEpochMs) {
}
