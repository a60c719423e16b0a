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
final class ServerChoice {

	/** There and back between two regions, in milliseconds. */
	private static final double REGION_MS = 60;

	/** There and back between two failure domains of a region, in milliseconds. */
	private static final double DOMAIN_MS = 2;

	/** Cost of a large response from another failure domain, as waiting time in ms. */
	private static final double LARGE_DOMAIN_MS = 60;

	/** Cost of a large response from another region, as waiting time in ms. */
	private static final double LARGE_REGION_MS = 900;

	/** A full server would take this much longer, a half full one half of it. */
	private static final double SHARED_FACTOR = 0.3;

	/** A cold server takes this much longer. */
	private static final double COLD_FACTOR = 2;

	/** A failing server costs a repetition of the work this many times its share. */
	private static final double FAILING_FACTOR = 3;

	/** Requests to a server of another region that may be outstanding at once. */
	private static final int REMOTE_MOST = 2;

	/** Servers whose load is asked for before one request is placed. */
	private static final int MOST_REFRESHED = 3;

	private static final double TIE_BREAK = 0.1;

	private static final int TIE_STEPS = 1_000;

	private final Region region;

	private final RandomSource random;

	ServerChoice(Region region, RandomSource random) {
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
	@Nullable Candidate choose(SlotRequest request, ServicePool pool, Set<FailureDomain> evacuated, ChoiceCriteria criteria,
			long now) {
		Collection<PlacedServer> servers = pool.servers();
		LastSlot lastSlot = pool.lastSlot();
		Slowness slowness = pool.slowness();
		Candidate best = null;
		Candidate bestLast = null;
		boolean nearOnly = request.large() && hasLocal(request, servers, evacuated, now);
		boolean desperate = isNoneUsable(request, servers, evacuated, now);
		for (PlacedServer server : servers) {
			boolean usable = desperate ? isUntried(request, server, evacuated)
					: isUsable(request, server, evacuated, now);
			if (!usable || !hasRoom(server, criteria.coldRate(), now) || nearOnly && !isLocal(server)) {
				continue;
			}
			double slow = server.slowness(now, slowness.average());
			if (criteria.patient() && slowness.isWorthWaiting(request.workMs(), slow)) {
				continue;
			}
			boolean last = server.isLastSlot(now);
			double cost = cost(request, server, slow * (last ? lastSlot.factor() : 1), now);
			if (last && !lastSlot.isWorthUsing(server.slots())) {
				bestLast = cheaper(bestLast, server, cost);
			}
			else {
				best = cheaper(best, server, cost);
			}
		}
		if (best == null && bestLast != null && lastSlot.explore()) {
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
	boolean isLoadKnown(PlacedServer server, ChoiceCriteria criteria, long now) {
		return !isLocal(server) || server.loadAgeMs(now) <= criteria.mostLoadAgeMs();
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
	List<PlacedServer> outdated(SlotRequest request, ServicePool pool, Set<FailureDomain> evacuated,
			ChoiceCriteria criteria, long now) {
		return pool.servers()
			.stream()
			.filter((server) -> isLocal(server) && isUsable(request, server, evacuated, now))
			.filter((server) -> hasRoom(server, criteria.coldRate(), now))
			.filter((server) -> !isLoadKnown(server, criteria, now))
			.sorted(Comparator.comparingInt((PlacedServer server) -> server.outstanding(now))
				.thenComparing(Comparator.comparingLong((PlacedServer server) -> server.loadAgeMs(now)).reversed()))
			.limit(MOST_REFRESHED)
			.toList();
	}

	private static Candidate cheaper(@Nullable Candidate best, PlacedServer server, double cost) {
		return (best != null && best.costMs() <= cost) ? best : new Candidate(server, cost);
	}

	// Large responses of another region cost more than the wait for a server of this one.
	private boolean hasLocal(SlotRequest request, Collection<PlacedServer> servers, Set<FailureDomain> evacuated,
			long now) {
		return servers.stream()
			.anyMatch((server) -> isLocal(server) && !server.isCold(now) && isUsable(request, server, evacuated, now));
	}

	boolean isUsable(SlotRequest request, PlacedServer server, Set<FailureDomain> evacuated, long now) {
		return isUntried(request, server, evacuated) && !server.ejection().isEjected(now);
	}

	boolean isUntried(SlotRequest request, PlacedServer server, Set<FailureDomain> evacuated) {
		return isPermitted(request, server, evacuated) && !request.tried().contains(server.instance().id());
	}

	// Where all servers look bad, the reason is probably not the servers.
	boolean isNoneUsable(SlotRequest request, Collection<PlacedServer> servers, Set<FailureDomain> evacuated,
			long now) {
		return servers.stream().noneMatch((server) -> isUsable(request, server, evacuated, now));
	}

	boolean isPermitted(SlotRequest request, PlacedServer server, Set<FailureDomain> evacuated) {
		Region place = server.instance().region();
		if (request.localOnly() && !isLocal(server)) {
			return false;
		}
		return !server.instance().draining() && !evacuated.contains(server.instance().domain())
				&& (request.homes().isEmpty() || request.homes().contains(place));
	}

	boolean isLocal(PlacedServer server) {
		return server.instance().region().equals(this.region);
	}

	private boolean hasRoom(PlacedServer server, double coldRate, long now) {
		if (server.isFull(now)) {
			return false;
		}
		boolean local = isLocal(server);
		if (server.isCold(now)) {
			return local && coldRate > 0 && server.gate().isOpen(now) && server.granted() < 2;
		}
		return local || server.granted() < REMOTE_MOST;
	}

	private double cost(SlotRequest request, PlacedServer server, double factor, long now) {
		double work = request.workMs() * factor * Math.max(1, server.pace());
		work *= 1 + SHARED_FACTOR * server.outstanding(now) / server.slots();
		if (server.isCold(now)) {
			work *= COLD_FACTOR;
		}
		work *= 1 + FAILING_FACTOR * server.ejection().failing();
		work += distance(request, server);
		return work * (1 + TIE_BREAK * this.random.nextInt(TIE_STEPS) / TIE_STEPS);
	}

	private double distance(SlotRequest request, PlacedServer server) {
		if (!isLocal(server)) {
			return REGION_MS + (request.large() ? LARGE_REGION_MS : 0);
		}
		if (!server.instance().domain().equals(request.domain())) {
			return DOMAIN_MS + (request.large() ? LARGE_DOMAIN_MS : 0);
		}
		return 0;
	}

	/**
	 * A server with its cost.
	 *
	 * @param server the server
	 * @param costMs the expected time of the response, in milliseconds
	 */
	record Candidate(PlacedServer server, double costMs) {
	}

}
