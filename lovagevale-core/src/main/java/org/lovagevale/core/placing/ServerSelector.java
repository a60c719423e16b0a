package org.lovagevale.core.placing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.Region;

/**
 * Chooses a server for a request by the time that its response is expected to take.
 *
 * <p>
 * Stateless except for its source of random numbers. Not thread-safe.
 */
final class ServerSelector {

	/** There and back between two regions, in milliseconds. */
	private static final double REGION_ROUND_TRIP_MS = 60;

	/** There and back between two failure domains of a region, in milliseconds. */
	private static final double DOMAIN_ROUND_TRIP_MS = 2;

	/** Cost of a large response from another failure domain, as waiting time in ms. */
	private static final double LARGE_RESPONSE_DOMAIN_COST_MS = 60;

	/** Cost of a large response from another region, as waiting time in ms. */
	private static final double LARGE_RESPONSE_REGION_COST_MS = 900;

	/** A full server would take this much longer, a half full one half of it. */
	private static final double UTILIZATION_FACTOR = 0.3;

	/** A cold server takes this much longer. */
	private static final double COLD_FACTOR = 2;

	/** A failing server costs a repetition of the work this many times its share. */
	private static final double FAILURE_FACTOR = 3;

	/** Requests to a server of another region that may be outstanding at once. */
	private static final int MAX_REMOTE_REQUESTS = 2;

	/** Servers whose load is asked for before one request is placed. */
	private static final int MAX_REFRESHED_SERVERS = 3;

	private static final double TIE_BREAK_SHARE = 0.1;

	private static final int TIE_BREAK_STEPS = 1_000;

	private final Region region;

	private final RandomSource random;

	ServerSelector(Region region, RandomSource random) {
		this.region = region;
		this.random = random;
	}

	/**
	 * Chooses the best server that has a free slot.
	 * @param request the request
	 * @param pool the servers of its service
	 * @param evacuated failure domains that get no requests
	 * @param criteria which servers to accept
	 * @param now the monotonic time in milliseconds
	 * @return the choice, or {@code null} if no server is free
	 */
	@Nullable Candidate choose(SlotRequest request, ServicePool pool, Set<FailureDomain> evacuated, SelectionCriteria criteria,
			long now) {
		Collection<PooledServer> servers = pool.servers();
		LastSlotPolicy lastSlot = pool.lastSlotPolicy();
		SlownessEstimate slowness = pool.slowness();
		Candidate best = null;
		Candidate bestLast = null;
		boolean nearOnly = request.largeResponse() && hasWarmLocalServer(request, servers, evacuated, now);
		boolean desperate = isNoneUsable(request, servers, evacuated, now);
		for (PooledServer server : servers) {
			boolean usable = desperate ? isUntried(request, server, evacuated)
					: isUsable(request, server, evacuated, now);
			if (!usable || !hasFreeSlot(server, criteria.coldRequestsPerSecond(), now)
					|| nearOnly && !isLocal(server)) {
				continue;
			}
			double slow = server.slowness(now, slowness.average());
			if (criteria.avoidSlowServers() && slowness.isWorthWaiting(request.workMs(), slow)) {
				continue;
			}
			boolean last = server.isLastSlot(now);
			double cost = expectedCostMs(request, server, slow * (last ? lastSlot.slowdownFactor() : 1), now);
			if (last && !lastSlot.isWorthUsing(server.slots())) {
				bestLast = cheaper(bestLast, server, cost);
			}
			else {
				best = cheaper(best, server, cost);
			}
		}
		if (best == null && bestLast != null && lastSlot.shouldExplore()) {
			return bestLast;
		}
		return best;
	}

	/**
	 * Tells whether the load of a server is known well enough to place on it. The load of
	 * servers in other regions is never asked for, since it would be outdated on arrival.
	 * @param server the server
	 * @param criteria which servers to accept
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if it is
	 */
	boolean isLoadKnown(PooledServer server, SelectionCriteria criteria, long now) {
		return !isLocal(server) || server.loadAgeMs(now) <= criteria.maxLoadAgeMs();
	}

	/**
	 * Finds the servers whose load decides where a request goes and is not known well
	 * enough.
	 * @param request the request
	 * @param pool the servers of its service
	 * @param evacuated failure domains that get no requests
	 * @param criteria which servers to accept
	 * @param now the monotonic time in milliseconds
	 * @return at most {@link #MOST_REFRESHED} servers, those with the most free slots
	 * first
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

	private static Candidate cheaper(@Nullable Candidate best, PooledServer server, double cost) {
		return (best != null && best.costMs() <= cost) ? best : new Candidate(server, cost);
	}

	// Large responses of another region cost more than the wait for a server of this one.
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

	// Where all servers look bad, the reason is probably not the servers.
	boolean isNoneUsable(SlotRequest request, Collection<PooledServer> servers, Set<FailureDomain> evacuated,
			long now) {
		return servers.stream().noneMatch((server) -> isUsable(request, server, evacuated, now));
	}

	boolean isPermitted(SlotRequest request, PooledServer server, Set<FailureDomain> evacuated) {
		Region place = server.instance().region();
		if (request.localOnly() && !isLocal(server)) {
			return false;
		}
		return !server.instance().draining() && !evacuated.contains(server.instance().domain())
				&& (request.homeRegions().isEmpty() || request.homeRegions().contains(place));
	}

	boolean isLocal(PooledServer server) {
		return server.instance().region().equals(this.region);
	}

	private boolean hasFreeSlot(PooledServer server, double coldRate, long now) {
		if (server.isFull(now)) {
			return false;
		}
		boolean local = isLocal(server);
		if (server.isCold(now)) {
			return local && coldRate > 0 && server.coldRateLimiter().allowsRequest(now) && server.grantCount() < 2;
		}
		return local || server.grantCount() < MAX_REMOTE_REQUESTS;
	}

	private double expectedCostMs(SlotRequest request, PooledServer server, double factor, long now) {
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
	 * A server with its cost.
	 *
	 * @param server the server
	 * @param costMs the expected time of the response, in milliseconds
	 */
	record Candidate(PooledServer server, double costMs) {
	}

}
