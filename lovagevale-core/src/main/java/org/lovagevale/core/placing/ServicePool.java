package org.lovagevale.core.placing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.ServiceSpec;

/**
 * The servers of one service and the queue of requests that wait for them.
 *
 * <p>
 * Not thread-safe.
 */
final class ServicePool {

	/** Rate of a cold server whose service has no specification, in requests a second. */
	private static final double DEFAULT_COLD_REQUESTS_PER_SECOND = 1;

	/**
	 * Lower bound of the retry delay of requests that were queued too long, in
	 * milliseconds; also the assumed processing time of a new request.
	 */
	private static final int MIN_DRAIN_MS = 200;

	private final Map<ServerName, PooledServer> servers = new HashMap<>();

	private final WaitingQueue queue = new WaitingQueue();

	private final LastSlotPolicy lastSlotPolicy = new LastSlotPolicy();

	private final SlownessEstimate slowness = new SlownessEstimate();

	private final CapacityDivision division = new CapacityDivision();

	private final RemoteCapacity remoteCapacity = new RemoteCapacity();

	private final RegionOverflow overflow;

	private final ReturnSchedule returns;

	private final ExtraSendBudget budget;

	private final FirstAttempts firstAttempts;

	private @Nullable ServiceSpec spec;

	// A time far in the past that can be subtracted from any time without overflow.
	private long lastRequestedAt = Long.MIN_VALUE / 2;

	ServicePool(PlacingLimits limits, ReturnSchedule returns, RegionOverflow overflow) {
		this.budget = new ExtraSendBudget(limits);
		this.firstAttempts = new FirstAttempts(new HedgeLimit(limits.secondSendShare()));
		this.overflow = overflow;
		this.returns = returns;
	}

	long lastRequestedAt() {
		return this.lastRequestedAt;
	}

	void recordRequest(long now) {
		this.lastRequestedAt = now;
	}

	Collection<PooledServer> servers() {
		return this.servers.values();
	}

	WaitingQueue queue() {
		return this.queue;
	}

	SlownessEstimate slowness() {
		return this.slowness;
	}

	LastSlotPolicy lastSlotPolicy() {
		return this.lastSlotPolicy;
	}

	CapacityDivision division() {
		return this.division;
	}

	RemoteCapacity remoteCapacity() {
		return this.remoteCapacity;
	}

	RegionOverflow overflow() {
		return this.overflow;
	}

	ReturnSchedule returns() {
		return this.returns;
	}

	ExtraSendBudget budget() {
		return this.budget;
	}

	FirstAttempts firstAttempts() {
		return this.firstAttempts;
	}

	void recordFirstSend(long now) {
		this.budget.recordFirstSend(now);
		this.firstAttempts.limit().recordFirstSend();
	}

	/**
	 * Takes back a send that was recorded but not made.
	 * @param purpose the purpose of the send
	 * @param recordedAt the monotonic time at which it was recorded, in milliseconds
	 */
	void recordUnused(SendPurpose purpose, long recordedAt) {
		this.budget.recordUnused(purpose, recordedAt);
		switch (purpose) {
			case FIRST -> this.firstAttempts.limit().recordUnusedFirstSend();
			case HEDGE -> this.firstAttempts.limit().recordUnused();
			case RETRY -> {
			}
		}
	}

	@Nullable ServiceSpec spec() {
		return this.spec;
	}

	// Keeps the known specification if the service is missing from a configuration.
	void updateSpec(@Nullable ServiceSpec next) {
		if (next != null) {
			this.spec = next;
		}
	}

	double coldRequestsPerSecond() {
		ServiceSpec known = this.spec;
		return (known != null) ? known.coldRequestsPerSecond() : DEFAULT_COLD_REQUESTS_PER_SECOND;
	}

	@Nullable PooledServer find(ServerName id) {
		return this.servers.get(id);
	}

	void put(BackendInstance instance, long now) {
		PooledServer known = this.servers.get(instance.id());
		if (known == null || known.instance().startedAtEpochMs() != instance.startedAtEpochMs()) {
			this.servers.put(instance.id(), new PooledServer(instance, now));
			return;
		}
		known.update(instance, now);
	}

	void retainListed(Map<ServerName, BackendInstance> listed) {
		this.servers.keySet().removeIf((id) -> {
			BackendInstance instance = listed.get(id);
			PooledServer server = this.servers.get(id);
			return instance == null || server != null && !instance.service().equals(server.instance().service());
		});
	}

	/**
	 * Tells whether a request may be placed immediately, ahead of the queued requests.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if no queued request takes precedence
	 */
	boolean mayBypassQueue(SlotRequest request, long now) {
		QueuedRequest first = this.queue.first(now);
		return first == null || request.priority() < first.request().priority()
				|| !request.homeRegions().equals(first.request().homeRegions());
	}

	/**
	 * Decides whether a request may be queued.
	 * @param request the request
	 * @param callerReturn whether its caller was rejected before and returned as it was
	 * told
	 * @param selector tells which servers the request may use
	 * @param evacuated failure domains that get no requests
	 * @param now the monotonic time in milliseconds
	 * @return the verdict
	 */
	Admission.Verdict admit(SlotRequest request, CallerReturn callerReturn, ServerSelector selector,
			Set<FailureDomain> evacuated, long now) {
		int slots = usableSlots(request, selector, evacuated, now);
		long workAheadMs = this.queue.workAheadMs(request.priority());
		boolean planned = callerReturn == CallerReturn.PLANNED;
		long plannedMs = planned ? 0 : this.returns.plannedWorkMs(request.priority(), now);
		if (plannedMs == 0 && isServedAfterAnswers(request, selector, evacuated, now)) {
			return new Admission.Verdict(true, RefusalCause.OVERLOAD, 0);
		}
		Admission.Verdict verdict = (callerReturn == CallerReturn.NONE)
				? Admission.decide(request, workAheadMs + plannedMs, slots)
				: Admission.decideReturned(request, workAheadMs + plannedMs, slots);
		if (!verdict.admitted() || this.queue.size() == 0) {
			return verdict;
		}
		if (!planned && this.division.hasItsPart(request, slots, now)) {
			return new Admission.Verdict(false, RefusalCause.OVERLOAD, drainMs(selector, evacuated, now));
		}
		double waitMs = this.division.expectedWaitMs(request, workAheadMs + plannedMs, slots, now);
		return (callerReturn == CallerReturn.NONE) ? Admission.decide(request, waitMs)
				: Admission.decideByTimeout(request, waitMs);
	}

	// A refused caller would return later than the servers answer.
	private boolean isServedAfterAnswers(SlotRequest request, ServerSelector selector, Set<FailureDomain> evacuated,
			long now) {
		int slots = 0;
		for (PooledServer server : selector.serversAwaitingAnswer(request, this.servers.values(), evacuated, now)) {
			slots += Math.max(0, Math.min(usableSlots(server), selector.maxRequests(server)) - server.grantableSlots());
		}
		return this.queue.countAhead(request.priority()) < slots
				&& Admission.decideByTimeout(request, SlownessEstimate.MAX_FRESH_LOAD_WAIT_MS).admitted();
	}

	private int usableSlots(SlotRequest request, ServerSelector selector, Set<FailureDomain> evacuated, long now) {
		int slots = 0;
		boolean ignoreEjections = selector.hasNoUsableServer(request, this.servers.values(), evacuated, now);
		for (PooledServer server : this.servers.values()) {
			boolean usable = ignoreEjections ? selector.isUntried(request, server, evacuated)
					: selector.isUsable(request, server, evacuated, now);
			if (usable) {
				slots += (selector.isLocal(server) && !server.isCold(now)) ? usableSlots(server) : 1;
			}
		}
		return slots;
	}

	/**
	 * Returns the capacity of the servers of this region. Slots of which nothing is known
	 * yet do not count as free.
	 * @param selector tells which servers are in this region
	 * @param evacuated failure domains that get no requests
	 * @param now the monotonic time in milliseconds
	 * @return the capacity
	 */
	RegionCapacity capacity(ServerSelector selector, Set<FailureDomain> evacuated, long now) {
		int free = 0;
		int used = 0;
		for (PooledServer server : this.servers.values()) {
			if (selector.isLocal(server) && selector.isInService(server, evacuated) && !server.ejection().isEjected(now)
					&& !server.isCold(now)) {
				int usable = usableSlots(server);
				int outstanding = Math.min(usable, server.outstanding(now));
				used += outstanding;
				free += Math.min(usable, server.grantableSlots()) - Math.min(outstanding, server.grantableSlots());
			}
		}
		return new RegionCapacity(free, used, this.queue.workAheadMs(Integer.MAX_VALUE));
	}

	/**
	 * Chooses the region to which a request moves that would wait here.
	 * @param request the request
	 * @param selector tells which servers the request may use
	 * @param evacuated failure domains that get no requests
	 * @param now the monotonic time in milliseconds
	 * @return the region, or {@code null} if the request stays
	 */
	@Nullable Region chooseForWait(SlotRequest request, ServerSelector selector, Set<FailureDomain> evacuated, long now) {
		if (request.overflowRegions().isEmpty()) {
			return null;
		}
		double waitMs = this.division.expectedWaitMs(request, this.queue.workAheadMs(request.priority()),
				usableSlots(request, selector, evacuated, now), now);
		return this.overflow.chooseForWait(request, waitMs, this.remoteCapacity.recent(now));
	}

	/**
	 * Plans the return of a request that is refused for lack of capacity.
	 * @param request the request
	 * @param minDelayMs the time until it could be served, in milliseconds
	 * @param now the monotonic time in milliseconds
	 * @return the retry delay in milliseconds
	 */
	int planReturn(SlotRequest request, int minDelayMs, long now) {
		return this.returns.plan(request, minDelayMs, this.division.grantedWork(request, now), now);
	}

	private int usableSlots(PooledServer server) {
		return this.lastSlotPolicy.isWorthUsing(server.slots()) ? server.slots() : server.slots() - 1;
	}

	/**
	 * Estimates the time until the queue is drained.
	 * @param selector tells which servers are in this region
	 * @param evacuated failure domains that get no requests
	 * @param now the monotonic time in milliseconds
	 * @return the estimate in milliseconds
	 */
	int drainMs(ServerSelector selector, Set<FailureDomain> evacuated, long now) {
		return Math.max(MIN_DRAIN_MS, expectedWaitMs(selector, evacuated, now));
	}

	/**
	 * Estimates the wait of a new request.
	 * @param selector tells which servers are in this region
	 * @param evacuated failure domains that get no requests
	 * @param now the monotonic time in milliseconds
	 * @return the estimate in milliseconds
	 */
	int expectedWaitMs(ServerSelector selector, Set<FailureDomain> evacuated, long now) {
		int slots = 1;
		for (PooledServer server : this.servers.values()) {
			boolean usable = selector.isInService(server, evacuated) && !server.ejection().isEjected(now);
			slots += (usable && selector.isLocal(server)) ? usableSlots(server) : 0;
		}
		long ahead = this.queue.workAheadMs(Integer.MAX_VALUE);
		return (int) Admission.expectedWaitMs(ahead, MIN_DRAIN_MS, slots);
	}

}
