package org.lovagevale.core.placing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.ServiceSpec;

/**
 * The servers of one service and the requests that wait for them.
 *
 * <p>
 * Not thread-safe.
 */
final class ServicePool {

	/** Rate for a cold server whose service is not specified, in requests a second. */
	private static final double DEFAULT_COLD_REQUESTS_PER_SECOND = 1;

	/** Callers are never told to come back sooner, in milliseconds. */
	private static final int MIN_DRAIN_MS = 200;

	private final Map<ServerName, PooledServer> servers = new HashMap<>();

	private final WaitingQueue queue = new WaitingQueue();

	private final LastSlotPolicy lastSlotPolicy = new LastSlotPolicy();

	private final SlownessEstimate slowness = new SlownessEstimate();

	private final ExtraSendBudget budget;

	private @Nullable ServiceSpec spec;

	// Far in the past, yet safe to subtract from any time.
	private long lastRequestedAt = Long.MIN_VALUE / 2;

	ServicePool(ExtraSendBudget budget) {
		this.budget = budget;
	}

	long lastRequestedAt() {
		return this.lastRequestedAt;
	}

	void lastRequestedAt(long now) {
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

	ExtraSendBudget budget() {
		return this.budget;
	}

	@Nullable ServiceSpec spec() {
		return this.spec;
	}

	void spec(@Nullable ServiceSpec next) {
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
	 * Tells whether a request may be placed at once, before those that wait.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if none waits that goes first
	 */
	boolean mayBypassQueue(SlotRequest request, long now) {
		QueuedRequest first = this.queue.first(now);
		return first == null || request.priority() < first.request().priority()
				|| !request.homeRegions().equals(first.request().homeRegions());
	}

	Admission.Verdict admit(SlotRequest request, ServerSelector choice, Set<FailureDomain> evacuated, long now) {
		int slots = 0;
		boolean desperate = choice.isNoneUsable(request, this.servers.values(), evacuated, now);
		for (PooledServer server : this.servers.values()) {
			boolean usable = desperate ? choice.isUntried(request, server, evacuated)
					: choice.isUsable(request, server, evacuated, now);
			if (!usable) {
				continue;
			}
			slots += (choice.isLocal(server) && !server.isCold(now)) ? usableSlots(server) : 1;
		}
		return Admission.decide(request, this.queue.workAheadMs(request.priority()), slots);
	}

	private int usableSlots(PooledServer server) {
		return this.lastSlotPolicy.isWorthUsing(server.slots()) ? server.slots() : server.slots() - 1;
	}

	/**
	 * Estimates when the requests that wait are served.
	 * @param choice tells the servers of this region
	 * @param evacuated failure domains that get no requests
	 * @param now the monotonic time in milliseconds
	 * @return milliseconds
	 */
	int drainMs(ServerSelector choice, Set<FailureDomain> evacuated, long now) {
		return Math.max(MIN_DRAIN_MS, expectedWaitMs(choice, evacuated, now));
	}

	/**
	 * Estimates how long a request would wait that is asked for now.
	 * @param choice tells the servers of this region
	 * @param evacuated failure domains that get no requests
	 * @param now the monotonic time in milliseconds
	 * @return milliseconds
	 */
	int expectedWaitMs(ServerSelector choice, Set<FailureDomain> evacuated, long now) {
		int slots = 1;
		for (PooledServer server : this.servers.values()) {
			boolean usable = !server.instance().draining() && !evacuated.contains(server.instance().domain())
					&& !server.ejection().isEjected(now);
			slots += (usable && choice.isLocal(server)) ? usableSlots(server) : 0;
		}
		long ahead = this.queue.workAheadMs(Integer.MAX_VALUE);
		return (int) Admission.expectedWaitMs(ahead, MIN_DRAIN_MS, slots);
	}

}
