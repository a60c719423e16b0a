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
	private static final double UNKNOWN_COLD_RATE = 1;

	/** Callers are never told to come back sooner, in milliseconds. */
	private static final int LEAST_DRAIN_MS = 200;

	private final Map<ServerName, PlacedServer> servers = new HashMap<>();

	private final WaitingLine line = new WaitingLine();

	private final LastSlot lastSlot = new LastSlot();

	private final Slowness slowness = new Slowness();

	private final ExtraSendBudget budget;

	private @Nullable ServiceSpec spec;

	// Far in the past, yet safe to subtract from any time.
	private long askedAt = Long.MIN_VALUE / 2;

	ServicePool(ExtraSendBudget budget) {
		this.budget = budget;
	}

	long askedAt() {
		return this.askedAt;
	}

	void askedAt(long now) {
		this.askedAt = now;
	}

	Collection<PlacedServer> servers() {
		return this.servers.values();
	}

	WaitingLine line() {
		return this.line;
	}

	Slowness slowness() {
		return this.slowness;
	}

	LastSlot lastSlot() {
		return this.lastSlot;
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

	double coldRate() {
		ServiceSpec known = this.spec;
		return (known != null) ? known.coldRequestsPerSecond() : UNKNOWN_COLD_RATE;
	}

	@Nullable PlacedServer find(ServerName id) {
		return this.servers.get(id);
	}

	void put(BackendInstance instance, long now) {
		PlacedServer known = this.servers.get(instance.id());
		if (known == null || known.instance().startedAtEpochMs() != instance.startedAtEpochMs()) {
			this.servers.put(instance.id(), new PlacedServer(instance, now));
			return;
		}
		known.update(instance, now);
	}

	void retain(Map<ServerName, BackendInstance> listed) {
		this.servers.keySet().removeIf((id) -> {
			BackendInstance instance = listed.get(id);
			PlacedServer server = this.servers.get(id);
			return instance == null || server != null && !instance.service().equals(server.instance().service());
		});
	}

	/**
	 * Tells whether a request may be placed at once, before those that wait.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if none waits that goes first
	 */
	boolean mayPass(SlotRequest request, long now) {
		WaitingSlot first = this.line.first(now);
		return first == null || request.priority() < first.request().priority()
				|| !request.homes().equals(first.request().homes());
	}

	Admission.Verdict admit(SlotRequest request, ServerChoice choice, Set<FailureDomain> evacuated, long now) {
		int slots = 0;
		boolean desperate = choice.isNoneUsable(request, this.servers.values(), evacuated, now);
		for (PlacedServer server : this.servers.values()) {
			boolean usable = desperate ? choice.isUntried(request, server, evacuated)
					: choice.isUsable(request, server, evacuated, now);
			if (!usable) {
				continue;
			}
			slots += (choice.isLocal(server) && !server.isCold(now)) ? usableSlots(server) : 1;
		}
		return Admission.decide(request, this.line.workAheadMs(request.priority()), slots);
	}

	private int usableSlots(PlacedServer server) {
		return this.lastSlot.isWorthUsing(server.slots()) ? server.slots() : server.slots() - 1;
	}

	/**
	 * Estimates when the requests that wait are served.
	 * @param choice tells the servers of this region
	 * @param evacuated failure domains that get no requests
	 * @param now the monotonic time in milliseconds
	 * @return milliseconds
	 */
	int drainMs(ServerChoice choice, Set<FailureDomain> evacuated, long now) {
		return Math.max(LEAST_DRAIN_MS, waitMs(choice, evacuated, now));
	}

	/**
	 * Estimates how long a request would wait that is asked for now.
	 * @param choice tells the servers of this region
	 * @param evacuated failure domains that get no requests
	 * @param now the monotonic time in milliseconds
	 * @return milliseconds
	 */
	int waitMs(ServerChoice choice, Set<FailureDomain> evacuated, long now) {
		int slots = 1;
		for (PlacedServer server : this.servers.values()) {
			boolean usable = !server.instance().draining() && !evacuated.contains(server.instance().domain())
					&& !server.ejection().isEjected(now);
			slots += (usable && choice.isLocal(server)) ? usableSlots(server) : 0;
		}
		long ahead = this.line.workAheadMs(Integer.MAX_VALUE);
		return (int) Admission.expectedWaitMs(ahead, LEAST_DRAIN_MS, slots);
	}

}
