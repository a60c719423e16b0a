package org.lovagevale.core.placing;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;

/**
 * Offers second slots to requests whose first attempt is late because of its server.
 *
 * <p>
 * Invariants: a request gets at most one offer, and only for its first attempt; an offer
 * is made only by the sole owner of the service, while no request is queued for it,
 * within the share of its first attempts and the spare part of its retry budget, at a
 * local, warm server that is known to be fast and keeps a free slot. Not thread-safe.
 */
final class HedgePlanner {

	/**
	 * Maximum age of the load report of a server for a hedged request, in milliseconds.
	 */
	private static final long MAX_LOAD_AGE_MS = 25;

	/** Maximum number of servers whose load is requested for one hedged request. */
	private static final int MAX_REFRESHED_SERVERS = 2;

	private final ServerSelector selector;

	private final Predicate<ServiceName> isSoleOwner;

	private final SlotReplies replies;

	private Set<FailureDomain> evacuated = Set.of();

	HedgePlanner(ServerSelector selector, Predicate<ServiceName> isSoleOwner, SlotReplies replies) {
		this.selector = selector;
		this.isSoleOwner = isSoleOwner;
		this.replies = replies;
	}

	void setEvacuated(Set<FailureDomain> domains) {
		this.evacuated = domains;
	}

	/**
	 * Follows a granted attempt if its request may be hedged.
	 * @param pool the servers of its service
	 * @param request the slot request
	 * @param server the server of the attempt
	 * @param now the monotonic time in milliseconds
	 */
	void attemptGranted(ServicePool pool, SlotRequest request, PooledServer server, long now) {
		if (request.hedgeable() && request.purpose() == SendPurpose.FIRST && pool.firstAttempts().limit().isEnabled()
				&& this.selector.isLocal(server)) {
			pool.firstAttempts().add(new FirstAttempt(request, server, pool.slowness().isSteady(), now));
		}
	}

	/**
	 * Handles the release of a slot.
	 * @param pool the servers of the service
	 * @param id the slot request
	 * @param server the server of the slot
	 */
	void released(ServicePool pool, SlotId id, ServerName server) {
		FirstAttempt ended = pool.firstAttempts().remove(id, server);
		HedgeRefusal refusal = (ended != null) ? ended.refusal() : null;
		if (ended != null && refusal != null) {
			this.replies.hedgeRefused(ended.request(), refusal);
		}
	}

	/**
	 * Handles a load report of a server, which may show that its attempts are slow or
	 * that it can take a hedged request.
	 * @param pool the servers of the service
	 * @param server the server
	 * @param now the monotonic time in milliseconds
	 */
	void loadReported(ServicePool pool, PooledServer server, long now) {
		if (pool.firstAttempts().isEmpty()) {
			return;
		}
		for (FirstAttempt attempt : pool.firstAttempts().at(server.instance().id())) {
			attempt.recordReport(server.reportedSlowness(), now);
			if (attempt.isHedgeWanted(now)) {
				pool.firstAttempts().markLate(attempt);
			}
		}
		offer(pool, now);
	}

	/**
	 * Requests missing load reports and hedges the attempts that are late. To be called
	 * periodically while {@link #isFollowing} returns {@code true}.
	 * @param pool the servers of a service
	 * @param now the monotonic time in milliseconds
	 */
	void tick(ServicePool pool, long now) {
		FirstAttempts attempts = pool.firstAttempts();
		if (attempts.isEmpty()) {
			return;
		}
		attempts.removeIf((attempt) -> attempt.isExpired(now));
		attempts.all().stream().filter((attempt) -> attempt.isHedgeWanted(now)).forEach(attempts::markLate);
		offer(pool, now);
		// Without a token, a report would be of no use.
		if (attempts.limit().isAvailable() && pool.queue().size() == 0) {
			attempts.all()
				.stream()
				.filter((attempt) -> attempt.needsReport(now))
				.map((attempt) -> attempt.server().instance().id())
				.distinct()
				.forEach(this.replies::loadWanted);
		}
	}

	boolean isFollowing(ServicePool pool) {
		return !pool.firstAttempts().isEmpty();
	}

	void removeVm(ServicePool pool, VmName vm) {
		pool.firstAttempts().removeIf((attempt) -> attempt.request().id().vm().equals(vm));
	}

	private void offer(ServicePool pool, long now) {
		for (FirstAttempt attempt : pool.firstAttempts().late()) {
			if (attempt.isHedgeWanted(now)) {
				offer(pool, attempt, now);
			}
		}
	}

	private void offer(ServicePool pool, FirstAttempt attempt, long now) {
		HedgeRefusal refusal = refusal(pool, attempt.request(), now);
		PooledServer second = (refusal != null) ? null : findServer(pool, attempt, now);
		if (refusal != null || second == null) {
			attempt.refuse((refusal != null) ? refusal : HedgeRefusal.NO_SERVER);
			return;
		}
		if (!pool.budget().tryAcquireSpare(now)) {
			attempt.refuse(HedgeRefusal.RETRY_BUDGET);
			return;
		}
		SlotRequest request = attempt.request();
		pool.firstAttempts().limit().consume();
		pool.firstAttempts().remove(request.id(), attempt.server().instance().id());
		// Expires with the grant of the first attempt.
		second.grant(request.id(),
				new PooledServer.Grant(
						now + request.timeLeftMs() - attempt.ageMs(now) + SlotDispatcher.GRANT_EXPIRY_GRACE_MS, false,
						SendPurpose.HEDGE, now));
		this.replies.hedgeOffered(request, second.instance().id(), attempt.describe(now) + " outstanding="
				+ second.outstanding(now) + "/" + second.slots() + " loadAgeMs=" + second.loadAgeMs(now));
	}

	private @Nullable HedgeRefusal refusal(ServicePool pool, SlotRequest request, long now) {
		if (!this.isSoleOwner.test(request.service())) {
			return HedgeRefusal.NOT_OWNER;
		}
		if (pool.queue().size() > 0) {
			return HedgeRefusal.QUEUED;
		}
		return pool.firstAttempts().limit().isAvailable() ? null : HedgeRefusal.SHARE;
	}

	// Requests the load of servers that may be suitable, so that the next report offers
	// one.
	private @Nullable PooledServer findServer(ServicePool pool, FirstAttempt attempt, long now) {
		List<PooledServer> available = pool.servers()
			.stream()
			.filter((server) -> isAvailable(attempt, server, now))
			.toList();
		PooledServer best = null;
		double bestCostMs = Double.POSITIVE_INFINITY;
		for (PooledServer server : available) {
			double factor = server.reportedSlowness();
			if (server.loadAgeMs(now) > MAX_LOAD_AGE_MS || !attempt.isWorthwhile(factor, now)
					|| HedgeDecision.isSlow(factor)) {
				continue;
			}
			double costMs = this.selector.expectedCostMs(attempt.request(), server, factor, now);
			if (costMs < bestCostMs) {
				best = server;
				bestCostMs = costMs;
			}
		}
		if (best == null) {
			available.stream()
				.filter((server) -> server.loadAgeMs(now) > MAX_LOAD_AGE_MS)
				.sorted(Comparator.comparingInt((PooledServer server) -> server.outstanding(now)))
				.limit(MAX_REFRESHED_SERVERS)
				.forEach((server) -> this.replies.loadWanted(server.instance().id()));
		}
		return best;
	}

	private boolean isAvailable(FirstAttempt attempt, PooledServer server, long now) {
		return server != attempt.server() && this.selector.isLocal(server) && !server.isCold(now)
				&& this.selector.isUsable(attempt.request(), server, this.evacuated, now)
				&& this.selector.hasFreeSlot(server, 0, now) && !server.isLastSlot(now);
	}

}
