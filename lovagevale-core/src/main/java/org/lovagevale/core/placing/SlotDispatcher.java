package org.lovagevale.core.placing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.Catalog;
import org.lovagevale.core.catalog.ServiceSpec;
import org.lovagevale.core.catalog.ServingConfiguration;

/**
 * Grants slots of backend servers to the requests of the entry VMs of one region.
 *
 * <p>
 * Invariants: a slot request gets at most one grant or refusal; no slots of draining
 * servers, of servers that have announced that they are leaving, or of servers in
 * evacuated failure domains are granted; slots of a cold server are granted only by the
 * sole owner of its service. Not thread-safe.
 */
public final class SlotDispatcher {

	/**
	 * Time for which a server that returns from evacuation counts as cold, in
	 * milliseconds. A health check reports its actual warmup within this time.
	 */
	private static final long COLD_AFTER_EVACUATION_MS = 1_500;

	/**
	 * Time after the timeout of a request at which its unreleased grant expires, in
	 * milliseconds.
	 */
	static final long GRANT_EXPIRY_GRACE_MS = 1_000;

	private final Clock clock;

	private final RandomSource random;

	private final PlacingLimits limits;

	private final SlotReplies replies;

	private final ServerSelector selector;

	private final ServerAnnouncements announcements;

	private final LeavingReports leavingReports;

	private final Map<ServiceName, ServicePool> pools = new HashMap<>();

	private final HedgePlanner hedging;

	private final CrashSuspects suspects = new CrashSuspects();

	private final Predicate<ServiceName> isSoleOwner;

	private Set<FailureDomain> evacuated = Set.of();

	/**
	 * Creates a dispatcher without servers.
	 * @param clock the clock
	 * @param random breaks ties
	 * @param region the region of this process
	 * @param limits the limits on retries and cold servers
	 * @param isSoleOwner tells for which services no other process of the region grants
	 * slots
	 * @param announcements the announcements of servers to this process
	 * @param replies receives the replies
	 */
	public SlotDispatcher(Clock clock, RandomSource random, Region region, PlacingLimits limits,
			Predicate<ServiceName> isSoleOwner, ServerAnnouncements announcements, SlotReplies replies) {
		this(clock, random, region, limits, isSoleOwner, ServerQuota.UNLIMITED, announcements, replies);
	}

	/**
	 * Creates a dispatcher without servers.
	 * @param clock the clock
	 * @param random breaks ties
	 * @param region the region of this process
	 * @param limits the limits on retries and cold servers
	 * @param isSoleOwner tells for which services no other process of the region grants
	 * slots
	 * @param quota limits the requests on a server while other processes may place
	 * requests on it too
	 * @param announcements the announcements of servers to this process
	 * @param replies receives the replies
	 */
	public SlotDispatcher(Clock clock, RandomSource random, Region region, PlacingLimits limits,
			Predicate<ServiceName> isSoleOwner, ServerQuota quota, ServerAnnouncements announcements,
			SlotReplies replies) {
		this.clock = clock;
		this.random = random;
		this.limits = limits;
		this.isSoleOwner = isSoleOwner;
		this.replies = replies;
		this.announcements = announcements;
		this.leavingReports = new LeavingReports(announcements);
		this.selector = new ServerSelector(region, random, announcements, quota);
		this.hedging = new HedgePlanner(this.selector, isSoleOwner, replies);
	}

	/**
	 * Updates the servers, the service specifications and the evacuated failure domains.
	 * @param catalog the catalog to read them from
	 */
	public void update(Catalog catalog) {
		long now = this.clock.millis();
		Map<ServerName, BackendInstance> listed = catalog.servers();
		this.leavingReports.update(listed);
		this.pools.values().forEach((pool) -> pool.retainListed(listed));
		for (BackendInstance instance : listed.values()) {
			pool(instance.service()).put(instance, now);
		}
		ServingConfiguration configuration = catalog.configuration();
		if (configuration != null) {
			this.pools.forEach((name, pool) -> pool.updateSpec(configuration.services().get(name)));
		}
		markReturnedServersCold(catalog.evacuated(), now);
		serveAllQueues();
	}

	private void markReturnedServersCold(Set<FailureDomain> next, long now) {
		Set<FailureDomain> returned = new HashSet<>(this.evacuated);
		returned.removeAll(next);
		this.evacuated = next;
		this.hedging.setEvacuated(next);
		for (ServicePool pool : this.pools.values()) {
			for (PooledServer server : pool.servers()) {
				if (returned.contains(server.instance().domain())) {
					server.markColdUntil(now + COLD_AFTER_EVACUATION_MS);
				}
			}
		}
	}

	/**
	 * Requests a slot. The result is reported to the {@link SlotReplies}.
	 * @param request the slot request
	 */
	public void requestSlot(SlotRequest request) {
		long now = this.clock.millis();
		ServicePool pool = pool(request.service());
		pool.recordRequest(now);
		if (this.suspects.isQuarantined(request.fingerprint(), now)) {
			this.replies.refused(request.id(), RefusalCause.QUARANTINED, (int) CrashSuspects.QUARANTINE_MS);
			return;
		}
		pool.budget().observeOwnership(this.isSoleOwner.test(request.service()), now);
		if (request.purpose() == SendPurpose.FIRST) {
			pool.recordFirstSend(now);
		}
		else if (!pool.budget().tryAcquire(now)) {
			// Only the expected wait, as a retry by the caller is not limited by this
			// budget.
			this.replies.refused(request.id(), RefusalCause.EXTRA_BUDGET,
					pool.expectedWaitMs(this.selector, this.evacuated, now));
			return;
		}
		pool.division().recordRequest(request, now);
		QueuedRequest queued = new QueuedRequest(request, now, pool.returns().takeReturned(request, now));
		pool.overflow().recordRequest(request, now);
		adjustOverflow(pool, now);
		Region other = pool.overflow().choose(request);
		if (other != null) {
			this.replies.moved(request.id(), other);
			return;
		}
		ServerSelector.Candidate found = pool.mayBypassQueue(request, now) ? choose(pool, request, now, now) : null;
		if (found != null) {
			grant(pool, queued, found, now);
			return;
		}
		enqueue(pool, queued, now);
	}

	private void adjustOverflow(ServicePool pool, long now) {
		if (pool.overflow().isDue(now)) {
			pool.overflow()
				.adjust(pool.capacity(this.selector, this.evacuated, now), pool.remoteCapacity().recent(now), now);
		}
	}

	private void enqueue(ServicePool pool, QueuedRequest queued, long now) {
		SlotRequest request = queued.request();
		Region other = pool.chooseForWait(request, this.selector, this.evacuated, now);
		if (other != null) {
			this.replies.moved(request.id(), other);
			return;
		}
		Admission.Verdict verdict = pool.admit(request, queued.callerReturn(), this.selector, this.evacuated, now);
		if (verdict.admitted()) {
			pool.queue().add(queued);
			this.replies.queued(request.id());
			this.selector.serversAwaitingAnswer(request, pool.servers(), this.evacuated, now)
				.forEach((server) -> this.replies.loadWanted(server.instance().id()));
			return;
		}
		if (request.purpose() == SendPurpose.RETRY) {
			pool.recordUnused(SendPurpose.RETRY, now);
		}
		boolean overload = verdict.cause() == RefusalCause.OVERLOAD;
		this.replies.refused(request.id(), verdict.cause(),
				overload ? pool.planReturn(request, verdict.retryAfterMs(), now) : verdict.retryAfterMs());
	}

	/**
	 * Cancels a queued slot request.
	 * @param id the slot request
	 */
	public void cancel(SlotId id) {
		for (ServicePool pool : this.pools.values()) {
			if (pool.queue().remove(id)) {
				return;
			}
		}
	}

	/**
	 * Releases a slot and records the outcome of its request.
	 * @param release the slot and the outcome
	 */
	public void release(SlotRelease release) {
		long now = this.clock.millis();
		ServicePool pool = poolOf(release.server());
		PooledServer server = (pool != null) ? pool.find(release.server()) : null;
		if (pool != null && server != null) {
			PooledServer.Grant grant = server.release(release.id());
			recordOutcome(pool, server, grant, release, now);
			this.hedging.released(pool, release.id(), release.server());
		}
		if (release.outcome() == SlotOutcome.LOST) {
			this.suspects.strike(release.fingerprint(), now);
		}
		else if (release.outcome() == SlotOutcome.SERVED) {
			this.suspects.clear(release.fingerprint());
		}
		if (pool != null) {
			serveQueue(pool, now);
			reportLoad(pool, server, release.load(), now);
		}
	}

	// Queued requests take precedence over hedged ones.
	private void reportLoad(ServicePool pool, @Nullable PooledServer server, ServerLoad load, long now) {
		if (server != null && load.isKnown()) {
			this.hedging.loadReported(pool, server, now);
		}
	}

	private void recordOutcome(ServicePool pool, PooledServer server, PooledServer.@Nullable Grant grant,
			SlotRelease release, long now) {
		server.recordLoad(release.load(), now);
		pool.slowness().recordLoad(release.load());
		switch (release.outcome()) {
			case SERVED, NOT_EXECUTED -> server.recordAnswer();
			case FAILED, LOST, ABANDONED -> {
				if (!release.load().isKnown()) {
					server.recordGivenUp();
				}
			}
			default -> {
			}
		}
		switch (release.outcome()) {
			case SERVED -> {
				server.ejection().recordSuccess();
				server.recordResponseTime(release.tookMs(), release.workMs());
				if (grant != null && this.selector.isLocal(server)) {
					pool.overflow().recordResponse(release.tookMs(), release.workMs());
					pool.lastSlotPolicy()
						.recordResponse(grant.lastSlot(), release.tookMs() / Math.max(1.0, release.workMs()));
				}
			}
			case FAILED, LOST -> server.ejection().recordFailure(now);
			case NOT_EXECUTED -> {
				if (server.reportedFreeSlot()) {
					server.ejection().recordRejectionWithFreeSlot();
				}
				else {
					server.recordRejection(now);
				}
			}
			case REPLACED -> server.ejection().recordUnreachable(now);
			case UNREACHABLE -> {
				server.ejection().recordUnreachable(now);
				recordUnused(pool, grant);
			}
			case UNUSED -> recordUnused(pool, grant);
			case ABANDONED -> {
			}
		}
	}

	// The request did not reach the server and may be placed again.
	private static void recordUnused(ServicePool pool, PooledServer.@Nullable Grant grant) {
		if (grant != null) {
			pool.recordUnused(grant.purpose(), grant.requestedAt());
		}
	}

	/**
	 * Records a successful health check.
	 * @param id the server
	 * @param load the reported load
	 * @param warmupLeftMs the reported time for which the server stays cold, in
	 * milliseconds; negative if it was not reported
	 */
	public void recordHealthCheck(ServerName id, ServerLoad load, long warmupLeftMs) {
		long now = this.clock.millis();
		ServicePool pool = poolOf(id);
		PooledServer server = (pool != null) ? pool.find(id) : null;
		if (pool != null && server != null) {
			server.recordLoad(load, now);
			server.recordAnswer();
			pool.slowness().recordLoad(load);
			pool.budget().observeOwnership(this.isSoleOwner.test(server.instance().service()), now);
			server.ejection().recordReachable();
			if (warmupLeftMs >= 0) {
				server.setRemainingWarmup(warmupLeftMs, now);
			}
			serveQueue(pool, now);
			reportLoad(pool, server, load, now);
		}
	}

	/**
	 * Records the load that a server reported with the response to a request that another
	 * dispatcher placed.
	 * @param id the server
	 * @param load the reported load
	 */
	public void recordLoad(ServerName id, ServerLoad load) {
		PooledServer server = server(id);
		if (server != null) {
			server.recordLoad(load, this.clock.millis());
		}
	}

	/**
	 * Records that another entry VM has reported that a server is leaving.
	 * @param from the entry VM
	 * @param run the run that is leaving
	 * @return {@code true} if this was not known
	 */
	public boolean recordLeaving(VmName from, ServerRun run) {
		this.leavingReports.recordKnown(from, run);
		return this.announcements.recordLeaving(run);
	}

	/**
	 * Returns the reports about leaving servers to other entry VMs.
	 * @return the reports
	 */
	public LeavingReports leavingReports() {
		return this.leavingReports;
	}

	/**
	 * Records that a health check could not reach a server.
	 * @param id the server
	 */
	public void recordUnreachable(ServerName id) {
		PooledServer server = server(id);
		if (server != null) {
			server.ejection().recordUnreachable(this.clock.millis());
		}
	}

	/**
	 * Releases the slots and cancels the queued requests of an entry VM that is gone.
	 * @param vm the entry VM
	 */
	public void removeVm(VmName vm) {
		this.leavingReports.forget(vm);
		for (ServicePool pool : this.pools.values()) {
			pool.servers().forEach((server) -> server.releaseAllOf(vm));
			this.hedging.removeVm(pool, vm);
			pool.queue().removeIf((queued) -> queued.request().id().vm().equals(vm));
		}
		serveAllQueues();
	}

	/**
	 * Refuses the requests that were queued too long, grants slots that became free, and
	 * hedges requests that are late. To be called periodically while
	 * {@link #isTickNeeded} returns {@code true}.
	 */
	public void tick() {
		long now = this.clock.millis();
		for (ServicePool pool : this.pools.values()) {
			pool.servers().forEach((server) -> server.removeExpiredGrants(now));
			for (QueuedRequest expired : pool.queue().removeIf((queued) -> queued.isTooLate(now))) {
				this.replies.refused(expired.request().id(), RefusalCause.TOO_LATE,
						pool.planReturn(expired.request(), pool.drainMs(this.selector, this.evacuated, now), now));
			}
			serveQueue(pool, now);
			this.hedging.tick(pool, now);
		}
	}

	/**
	 * Returns the capacity of a service in this region.
	 * @param service the service
	 * @return the capacity as known to this dispatcher
	 */
	public RegionCapacity capacity(ServiceName service) {
		return pool(service).capacity(this.selector, this.evacuated, this.clock.millis());
	}

	/**
	 * Records the capacity of a service in another region.
	 * @param service the service
	 * @param region the region
	 * @param capacity the reported capacity
	 * @param ageMs the age of the report in milliseconds
	 */
	public void recordRemoteCapacity(ServiceName service, Region region, RegionCapacity capacity, long ageMs) {
		ServicePool pool = this.pools.get(service);
		if (pool != null) {
			pool.remoteCapacity().record(region, capacity, this.clock.millis() - ageMs);
			pool.overflow().recordReport(region);
		}
	}

	/**
	 * Returns the slots in other regions that are meant for requests of this one.
	 * @param service the service
	 * @return the number of slots, 0 if no requests are moved
	 */
	public double movedSlots(ServiceName service) {
		return pool(service).overflow().movedSlots();
	}

	/**
	 * Tells whether any requests are queued.
	 * @return {@code true} if there is one
	 */
	public boolean hasWaitingRequests() {
		return this.pools.values().stream().anyMatch((pool) -> pool.queue().size() > 0);
	}

	/**
	 * Tells whether {@link #tick()} has anything to do.
	 * @return {@code true} while requests are queued or may be hedged
	 */
	public boolean isTickNeeded() {
		return hasWaitingRequests() || this.pools.values().stream().anyMatch(this.hedging::isFollowing);
	}

	/**
	 * Returns the time of the last slot request for a service.
	 * @param service the service
	 * @return the monotonic time in milliseconds
	 */
	public long lastRequestedAt(ServiceName service) {
		return pool(service).lastRequestedAt();
	}

	/**
	 * Returns the age of the load report of a server.
	 * @param id the server
	 * @return the milliseconds since its last report, {@link Long#MAX_VALUE} if there is
	 * none
	 */
	public long loadAgeMs(ServerName id) {
		PooledServer server = server(id);
		return (server != null) ? server.loadAgeMs(this.clock.millis()) : Long.MAX_VALUE;
	}

	/**
	 * Returns the service of a listed server.
	 * @param id the server
	 * @return the service, or {@code null} if the server is not listed
	 */
	public @Nullable ServiceName serviceOf(ServerName id) {
		PooledServer server = server(id);
		return (server != null) ? server.instance().service() : null;
	}

	private @Nullable ServicePool poolOf(ServerName id) {
		return this.pools.values().stream().filter((pool) -> pool.find(id) != null).findFirst().orElse(null);
	}

	private @Nullable PooledServer server(ServerName id) {
		ServicePool pool = poolOf(id);
		return (pool != null) ? pool.find(id) : null;
	}

	private void serveAllQueues() {
		long now = this.clock.millis();
		this.pools.values().forEach((pool) -> serveQueue(pool, now));
	}

	private void serveQueue(ServicePool pool, long now) {
		if (pool.queue().size() == 0) {
			return;
		}
		List<QueuedRequest> order = pool.queue().inOrder(now);
		for (QueuedRequest queued : order) {
			ServerSelector.Candidate found = choose(pool, queued.request(), queued.enqueuedAt(), now);
			// The receiver of a grant may release the slot at once, and that nested call
			// may already have served this request.
			if (found != null && pool.queue().remove(queued.request().id())) {
				grant(pool, queued, found, now);
			}
		}
	}

	private ServerSelector.@Nullable Candidate choose(ServicePool pool, SlotRequest request, long since, long now) {
		SelectionCriteria criteria = criteria(pool, request, since, now);
		ServerSelector.Candidate found = this.selector.choose(request, pool, this.evacuated, criteria, now);
		if (found != null && this.selector.isLoadKnown(found.server(), criteria, now)) {
			return found;
		}
		this.selector.serversToRefresh(request, pool, this.evacuated, criteria, now)
			.forEach((server) -> this.replies.loadWanted(server.instance().id()));
		return null;
	}

	private SelectionCriteria criteria(ServicePool pool, SlotRequest request, long since, long now) {
		double coldRate = this.isSoleOwner.test(request.service()) ? pool.coldRequestsPerSecond() : 0;
		long waited = now - since;
		return new SelectionCriteria(coldRate, waited < SlownessEstimate.MAX_WAIT_MS,
				pool.slowness().maxLoadAgeMs(waited), request.timeLeftMs() - waited);
	}

	private void grant(ServicePool pool, QueuedRequest queued, ServerSelector.Candidate found, long now) {
		SlotRequest request = queued.request();
		PooledServer server = found.server();
		boolean cold = server.isCold(now);
		if (cold) {
			server.coldRateLimiter().recordRequest(pool.coldRequestsPerSecond(), now);
		}
		String why = "costMs=" + Math.round(found.costMs()) + " outstanding=" + server.outstanding(now) + "/"
				+ server.slots() + " loadAgeMs=" + Math.min(server.loadAgeMs(now), Integer.MAX_VALUE) + " cold=" + cold
				+ " waiting=" + pool.queue().size();
		if (request.purpose() == SendPurpose.RETRY) {
			why += " retriesLeft=" + (int) pool.budget().left();
		}
		server.grant(request.id(), new PooledServer.Grant(now + request.timeLeftMs() + GRANT_EXPIRY_GRACE_MS,
				server.isLastSlot(now), request.purpose(), queued.enqueuedAt()));
		pool.division().recordGrant(request, now);
		if (!this.suspects.isSuspect(request.fingerprint())) {
			this.hedging.attemptGranted(pool, request, server, now);
		}
		this.replies.granted(request.id(), server.instance().id(), why);
	}

	private ServicePool pool(ServiceName service) {
		return this.pools.computeIfAbsent(service, (name) -> new ServicePool(this.limits,
				new ReturnSchedule(this.random), new RegionOverflow(this.clock.millis())));
	}

	/**
	 * Returns the specification of a service.
	 * @param service the service
	 * @return the specification, or {@code null} if none is known
	 */
	public @Nullable ServiceSpec spec(ServiceName service) {
		return pool(service).spec();
	}

}
