package org.lovagevale.core.placing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.Region;
import org.lovagevale.core.catalog.BackendInstance;

/**
 * Selects the server with the lowest expected response time for a request.
 *
 * <p>
 * Stateless except for its source of random numbers. Not thread-safe.
 */
final class ServerSelector {

	/** Round-trip time between two regions, in milliseconds. */
	private static final double REGION_ROUND_TRIP_MS = 60;

	/** Round-trip time between two failure domains of a region, in milliseconds. */
	private static final double DOMAIN_ROUND_TRIP_MS = 2;

	/**
	 * Cost of a large response from another failure domain, as equivalent waiting time in
	 * milliseconds.
	 */
	private static final double LARGE_RESPONSE_DOMAIN_COST_MS = 60;

	/**
	 * Cost of a large response from another region, as equivalent waiting time in
	 * milliseconds.
	 */
	private static final double LARGE_RESPONSE_REGION_COST_MS = 900;

	/**
	 * Additional processing time on a full server, as a share of the usual time; in
	 * proportion to the used slots otherwise.
	 */
	private static final double UTILIZATION_FACTOR = 0.3;

	/** Processing time on a cold server, as a factor of the usual time. */
	private static final double COLD_FACTOR = 2;

	/**
	 * Additional processing time on a server whose requests all fail, as a factor of the
	 * expected time; in proportion to the share of failures otherwise.
	 */
	private static final double FAILURE_FACTOR = 3;

	/** Maximum number of outstanding requests to a server of another region. */
	private static final int MAX_REMOTE_REQUESTS = 2;

	/** Maximum number of servers whose load is requested to place one request. */
	private static final int MAX_REFRESHED_SERVERS = 3;

	/** Maximum random share that is added to the cost to break ties. */
	private static final double TIE_BREAK_SHARE = 0.1;

	private static final int TIE_BREAK_STEPS = 1_000;

	private final Region region;

	private final RandomSource random;

	private final ServerAnnouncements announcements;

	private final ServerQuota quota;

	ServerSelector(Region region, RandomSource random, ServerAnnouncements announcements, ServerQuota quota) {
		this.quota = quota;
		this.region = region;
		this.random = random;
		this.announcements = announcements;
	}

	/**
	 * Selects the server with a free slot and the lowest cost.
	 * @param request the request
	 * @param pool the servers of its service
	 * @param evacuated failure domains that get no requests
	 * @param criteria which servers to accept
	 * @param now the monotonic time in milliseconds
	 * @return the selected server, or {@code null} if none is free
	 */
	@Nullable Candidate choose(SlotRequest request, ServicePool pool, Set<FailureDomain> evacuated, SelectionCriteria criteria,
			long now) {
		Collection<PooledServer> servers = pool.servers();
		LastSlotPolicy lastSlotPolicy = pool.lastSlotPolicy();
		SlownessEstimate slowness = pool.slowness();
		Candidate best = null;
		Candidate bestLastSlot = null;
		boolean localOnly = request.largeResponse() && hasWarmLocalServer(request, servers, evacuated, now);
		boolean ignoreEjections = hasNoUsableServer(request, servers, evacuated, now);
		for (PooledServer server : servers) {
			boolean usable = ignoreEjections ? isUntried(request, server, evacuated)
					: isUsable(request, server, evacuated, now);
			if (!usable || !hasFreeSlot(server, criteria.coldRequestsPerSecond(), now)
					|| localOnly && !isLocal(server)) {
				continue;
			}
			double slowFactor = server.slowness(now, slowness.average());
			boolean cannotFinish = request.workMs() * slowFactor > criteria.timeLeftMs();
			if ((criteria.avoidSlowServers() || cannotFinish)
					&& slowness.isWorthWaiting(request.workMs(), slowFactor)) {
				continue;
			}
			boolean takesLastSlot = server.isLastSlot(now);
			double cost = expectedCostMs(request, server,
					slowFactor * (takesLastSlot ? lastSlotPolicy.slowdownFactor() : 1), now);
			if (takesLastSlot && !lastSlotPolicy.isWorthUsing(server.slots())) {
				bestLastSlot = cheaper(bestLastSlot, server, cost);
			}
			else {
				best = cheaper(best, server, cost);
			}
		}
		if (best == null && bestLastSlot != null && lastSlotPolicy.shouldExplore()) {
			return bestLastSlot;
		}
		return best;
	}

	/**
	 * Tells whether the load of a server is recent enough to place a request on it. The
	 * load of servers in other regions is never requested, since it would be outdated on
	 * arrival.
	 * @param server the server
	 * @param criteria which servers to accept
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if it is recent enough
	 */
	boolean isLoadKnown(PooledServer server, SelectionCriteria criteria, long now) {
		return !isLocal(server) || server.loadAgeMs(now) <= criteria.maxLoadAgeMs();
	}

	/**
	 * Returns the candidate servers whose load must be requested before the request can
	 * be placed.
	 * @param request the request
	 * @param pool the servers of its service
	 * @param evacuated failure domains that get no requests
	 * @param criteria which servers to accept
	 * @param now the monotonic time in milliseconds
	 * @return at most {@link #MAX_REFRESHED_SERVERS} servers, those with the fewest
	 * outstanding requests first
	 */
	List<PooledServer> serversToRefresh(SlotRequest request, ServicePool pool, Set<FailureDomain> evacuated,
			SelectionCriteria criteria, long now) {
		return pool.servers()
			.stream()
			.filter((server) -> isLocal(server) && isUsable(request, server, evacuated, now))
			.filter((server) -> hasFreeSlot(server, criteria.coldRequestsPerSecond(), now))
			.filter((server) -> !isLoadKnown(server, criteria, now))
			.sorted(Comparator.comparingInt((PooledServer server) -> server.outstanding(now))
				.thenComparing(Comparator.comparingLong((PooledServer server) -> server.loadAgeMs(now)).reversed()))
			.limit(MAX_REFRESHED_SERVERS)
			.toList();
	}

	/**
	 * Returns the servers of this region that grant more slots to the request as soon as
	 * they have answered for the first time.
	 * @param request the request
	 * @param servers the servers of its service
	 * @param evacuated failure domains that get no requests
	 * @param now the monotonic time in milliseconds
	 * @return the servers
	 */
	List<PooledServer> serversAwaitingAnswer(SlotRequest request, Collection<PooledServer> servers,
			Set<FailureDomain> evacuated, long now) {
		return servers.stream()
			.filter((server) -> !server.hasAnswered() && isLocal(server) && isUsable(request, server, evacuated, now))
			.filter((server) -> !server.isCold(now) && !server.isFull(now))
			.filter((server) -> maxRequests(server) > server.grantableSlots())
			.toList();
	}

	/**
	 * Returns the number of requests that this process may place on a server that has
	 * answered.
	 * @param server the server
	 * @return the number of its slots within the quota
	 */
	int maxRequests(PooledServer server) {
		return Math.min(server.slots(), this.quota.maxRequests(server.instance(), server.slots()));
	}

	private static Candidate cheaper(@Nullable Candidate best, PooledServer server, double cost) {
		return (best != null && best.costMs() <= cost) ? best : new Candidate(server, cost);
	}

	// A large response from another region costs more than waiting for a local server.
	private boolean hasWarmLocalServer(SlotRequest request, Collection<PooledServer> servers,
			Set<FailureDomain> evacuated, long now) {
		return servers.stream()
			.anyMatch((server) -> isLocal(server) && !server.isCold(now) && isUsable(request, server, evacuated, now));
	}

	boolean isUsable(SlotRequest request, PooledServer server, Set<FailureDomain> evacuated, long now) {
		return isUntried(request, server, evacuated) && !server.ejection().isEjected(now);
	}

	boolean isUntried(SlotRequest request, PooledServer server, Set<FailureDomain> evacuated) {
		return isPermitted(request, server, evacuated) && !request.triedServers().contains(server.instance().id());
	}

	// If all servers are ejected, the cause is probably not the servers, so the caller
	// ignores ejections.
	boolean hasNoUsableServer(SlotRequest request, Collection<PooledServer> servers, Set<FailureDomain> evacuated,
			long now) {
		return servers.stream().noneMatch((server) -> isUsable(request, server, evacuated, now));
	}

	boolean isPermitted(SlotRequest request, PooledServer server, Set<FailureDomain> evacuated) {
		Region region = server.instance().region();
		if (request.localOnly() && !isLocal(server)) {
			return false;
		}
		return isInService(server, evacuated)
				&& (request.homeRegions().isEmpty() || request.homeRegions().contains(region));
	}

	/**
	 * Tells whether a server takes requests at all.
	 * @param server the server
	 * @param evacuated failure domains that get no requests
	 * @return {@code false} if it is leaving or in an evacuated failure domain
	 */
	boolean isInService(PooledServer server, Set<FailureDomain> evacuated) {
		BackendInstance instance = server.instance();
		return !instance.draining() && !this.announcements.isLeaving(instance)
				&& !evacuated.contains(instance.domain());
	}

	boolean isLocal(PooledServer server) {
		return server.instance().region().equals(this.region);
	}

	boolean hasFreeSlot(PooledServer server, double coldRate, long now) {
		if (server.isFull(now)) {
			return false;
		}
		boolean local = isLocal(server);
		if (server.grantCount() >= Math.min(server.grantableSlots(), maxRequests(server))) {
			return false;
		}
		if (server.isCold(now)) {
			return local && coldRate > 0 && server.coldRateLimiter().allowsRequest(now) && server.grantCount() < 2;
		}
		return local || server.grantCount() < MAX_REMOTE_REQUESTS;
	}

	double expectedCostMs(SlotRequest request, PooledServer server, double factor, long now) {
		double work = request.workMs() * factor * Math.max(1, server.responseTimeFactor());
		work *= 1 + UTILIZATION_FACTOR * server.outstanding(now) / server.slots();
		if (server.isCold(now)) {
			work *= COLD_FACTOR;
		}
		work *= 1 + FAILURE_FACTOR * server.ejection().failureShare();
		work += distanceCostMs(request, server);
		return work * (1 + TIE_BREAK_SHARE * this.random.nextInt(TIE_BREAK_STEPS) / TIE_BREAK_STEPS);
	}

	private double distanceCostMs(SlotRequest request, PooledServer server) {
		if (!isLocal(server)) {
			return REGION_ROUND_TRIP_MS + (request.largeResponse() ? LARGE_RESPONSE_REGION_COST_MS : 0);
		}
		if (!server.instance().domain().equals(request.domain())) {
			return DOMAIN_ROUND_TRIP_MS + (request.largeResponse() ? LARGE_RESPONSE_DOMAIN_COST_MS : 0);
		}
		return 0;
	}

	/**
	 * A server and its expected cost.
	 *
	 * @param server the server
	 * @param costMs the expected response time including penalties, in milliseconds
	 */
	record Candidate(PooledServer server, double costMs) {
	}

}
