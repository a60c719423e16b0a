package org.lovagevale.core.request;

import java.util.Deque;

import org.lovagevale.base.ServiceName;
import org.lovagevale.settings.model.Policy;

/**
 * The state of a service that outlives a change of settings.
 *
 * <p>
 * Not thread-safe.
 */
final class ServicePool {

	private static final int PERCENT = 100;

	private final ServiceName name;

	private final RequestQueue queue = new RequestQueue();

	private final RetryBudget retries = new RetryBudget();

	private final ConcurrencyLimit limit = new ConcurrencyLimit();

	private final ServiceAverages averages = new ServiceAverages();

	private final Deque<ServicePool> releasedPools;

	private Policy policy;

	private TrackedServer[] servers = new TrackedServer[0];

	private int entryVms = 1;

	private int inFlight;

	private boolean released;

	/**
	 * Creates the state of a service without backend servers.
	 * @param name the name
	 * @param policy the policy
	 * @param releasedPools receives this pool when capacity becomes free
	 */
	ServicePool(ServiceName name, Policy policy, Deque<ServicePool> releasedPools) {
		this.releasedPools = releasedPools;
		this.name = name;
		this.policy = policy;
	}

	ServiceName name() {
		return this.name;
	}

	Policy policy() {
		return this.policy;
	}

	RequestQueue queue() {
		return this.queue;
	}

	RetryBudget retries() {
		return this.retries;
	}

	ConcurrencyLimit limit() {
		return this.limit;
	}

	ServiceAverages averages() {
		return this.averages;
	}

	TrackedServer[] servers() {
		return this.servers;
	}

	int entryVms() {
		return this.entryVms;
	}

	void usePolicy(Policy policy) {
		this.policy = policy;
	}

	void useServers(TrackedServer[] servers, int entryVms) {
		this.servers = servers;
		this.entryVms = Math.max(1, entryVms);
	}

	void start() {
		this.inFlight++;
	}

	void end() {
		this.inFlight--;
		if (!this.released) {
			this.released = true;
			this.releasedPools.addLast(this);
		}
	}

	/**
	 * Tells whether capacity became free since the last call.
	 * @return {@code true} if queued requests should be tried
	 */
	boolean takeReleased() {
		boolean was = this.released;
		this.released = false;
		return was;
	}

	boolean isLimitReached() {
		return this.limit.isReached(this.inFlight);
	}

	/**
	 * Recomputes the slots of the usable backend servers.
	 */
	void updateLimit() {
		int slots = 0;
		for (TrackedServer server : this.servers) {
			if (server.isInService()) {
				slots += (server.isWarm()) ? server.capacity() : server.coldConcurrency();
			}
		}
		this.limit.useSlots(slots);
	}

	/**
	 * Tells whether one more backend server may be set aside because of outcomes.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if enough remain
	 */
	boolean canSetAside(long now) {
		int usable = 0;
		for (TrackedServer server : this.servers) {
			if (server.isInService() && server.isWarm() && !server.outcomes().isEjected(now)) {
				usable++;
			}
		}
		int aside = this.servers.length - usable + 1;
		return aside * PERCENT <= this.servers.length * this.policy.ejectMaxPercent();
	}

}
