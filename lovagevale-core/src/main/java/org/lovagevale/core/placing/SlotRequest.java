package org.lovagevale.core.placing;

import java.util.Set;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;

/**
 * A request of an entry VM for a slot of a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identity of this slot request
 * @param service the service
 * @param domain the failure domain of the entry VM that holds the request
 * @param homeRegions the regions in which the request may be served; empty for all
 * @param localOnly whether only servers of this region may be used; the entry VMs of
 * other regions have more recent load reports of the servers there
 * @param priority the priority, 0 being the highest
 * @param largeResponse whether the response is large, so that a nearby server saves
 * network traffic
 * @param purpose whether this is the first send or a retry
 * @param workMs the usual processing time of such requests, in milliseconds
 * @param targetLeftMs the time left to meet the target latency, in milliseconds; may be
 * negative
 * @param timeLeftMs the time left until the request times out, in milliseconds
 * @param triedServers the servers that the request was already sent to
 * @param fingerprint a hash of the request as sent by the caller, the same for repeated
 * requests
 * @param route the name of the route, which distinguishes the kinds of requests
 * @param bodyBytes the size of the request body in bytes
 * @param overflowRegions the regions to which the request may be moved if this region has
 * too little capacity; empty if it must be placed here
 * @param hedgeable whether the request may be hedged while its first attempt runs
 */
public record SlotRequest(SlotId id, ServiceName service, FailureDomain domain, Set<Region> homeRegions,
		boolean localOnly, int priority, boolean largeResponse, SendPurpose purpose, int workMs, int targetLeftMs,
		int timeLeftMs, Set<ServerName> triedServers, long fingerprint, String route, int bodyBytes,
		Set<Region> overflowRegions, boolean hedgeable) {

	/**
	 * Copies the collections.
	 */
	public SlotRequest {
		homeRegions = Set.copyOf(homeRegions);
		triedServers = Set.copyOf(triedServers);
		overflowRegions = Set.copyOf(overflowRegions);
	}

	/**
	 * Creates a request of an unnamed route without a body, which must be placed in this
	 * region.
	 * @param id the identity of this slot request
	 * @param service the service
	 * @param domain the failure domain of the entry VM that holds the request
	 * @param homeRegions the regions in which the request may be served; empty for all
	 * @param localOnly whether only servers of this region may be used
	 * @param priority the priority, 0 being the highest
	 * @param largeResponse whether the response is large
	 * @param purpose whether this is the first send or a retry
	 * @param workMs the usual processing time of such requests, in milliseconds
	 * @param targetLeftMs the time left to meet the target latency, in milliseconds
	 * @param timeLeftMs the time left until the request times out, in milliseconds
	 * @param triedServers the servers that the request was already sent to
	 * @param fingerprint a hash of the request as sent by the caller
	 */
	public SlotRequest(SlotId id, ServiceName service, FailureDomain domain, Set<Region> homeRegions, boolean localOnly,
			int priority, boolean largeResponse, SendPurpose purpose, int workMs, int targetLeftMs, int timeLeftMs,
			Set<ServerName> triedServers, long fingerprint) {
		this(id, service, domain, homeRegions, localOnly, priority, largeResponse, purpose, workMs, targetLeftMs,
				timeLeftMs, triedServers, fingerprint, "", 0, Set.of());
	}

	/**
	 * Creates a request that must not be hedged.
	 * @param id the identity of this slot request
	 * @param service the service
	 * @param domain the failure domain of the entry VM that holds the request
	 * @param homeRegions the regions in which the request may be served; empty for all
	 * @param localOnly whether only servers of this region may be used
	 * @param priority the priority, 0 being the highest
	 * @param largeResponse whether the response is large
	 * @param purpose whether this is the first send or a retry
	 * @param workMs the usual processing time of such requests, in milliseconds
	 * @param targetLeftMs the time left to meet the target latency, in milliseconds
	 * @param timeLeftMs the time left until the request times out, in milliseconds
	 * @param triedServers the servers that the request was already sent to
	 * @param fingerprint a hash of the request as sent by the caller
	 * @param route the name of the route
	 * @param bodyBytes the size of the request body in bytes
	 * @param overflowRegions the regions to which the request may be moved
	 */
	public SlotRequest(SlotId id, ServiceName service, FailureDomain domain, Set<Region> homeRegions, boolean localOnly,
			int priority, boolean largeResponse, SendPurpose purpose, int workMs, int targetLeftMs, int timeLeftMs,
			Set<ServerName> triedServers, long fingerprint, String route, int bodyBytes, Set<Region> overflowRegions) {
		this(id, service, domain, homeRegions, localOnly, priority, largeResponse, purpose, workMs, targetLeftMs,
				timeLeftMs, triedServers, fingerprint, route, bodyBytes, overflowRegions, false);
	}

	/**
	 * Returns this request, which may be hedged or not.
	 * @param possible whether it may be hedged while its first attempt runs
	 * @return the new request
	 */
	public SlotRequest withHedgeable(boolean possible) {
		return new SlotRequest(this.id, this.service, this.domain, this.homeRegions, this.localOnly, this.priority,
				this.largeResponse, this.purpose, this.workMs, this.targetLeftMs, this.timeLeftMs, this.triedServers,
				this.fingerprint, this.route, this.bodyBytes, this.overflowRegions, possible);
	}

}
