package org.lovagevale.core.placing;

import java.util.Set;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;

/**
 * Asks for a server that can run a request now or soon.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id identifies this question
 * @param service the service
 * @param domain the failure domain of the entry VM that holds the request
 * @param homeRegions the regions in which it may be served; empty for all
 * @param localOnly whether it is placed in this region only, since entry VMs of other
 * regions place it better there
 * @param priority the rank, 0 being served first
 * @param largeResponse whether its response is large, so that a near server saves bytes
 * @param purpose why it is to be sent
 * @param workMs how long such requests usually take, in milliseconds
 * @param targetLeftMs the time left for a response of full value, in milliseconds; may be
 * negative
 * @param timeLeftMs the time left for any response, in milliseconds
 * @param triedServers the servers that it was sent to before
 * @param fingerprint a hash of what the caller sends, the same for repeated requests
 */
public record SlotRequest(SlotId id, ServiceName service, FailureDomain domain, Set<Region> homeRegions,
		boolean localOnly, int priority, boolean largeResponse, SendPurpose purpose, int workMs, int targetLeftMs,
		int timeLeftMs, Set<ServerName> triedServers, long fingerprint) {

	/**
	 * Copies the collections.
	 */
	public SlotRequest {
		homeRegions = Set.copyOf(homeRegions);
		triedServers = Set.copyOf(triedServers);
	}

}
