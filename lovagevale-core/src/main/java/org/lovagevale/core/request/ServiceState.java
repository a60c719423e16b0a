package org.lovagevale.core.request;

import java.util.Deque;

import org.lovagevale.base.ServiceName;
import org.lovagevale.settings.model.Policy;

/**
 * The state of a service, which is kept when settings change.
 *
 * <p>
 * Not thread-safe.
 */
final class ServiceState {

	private static final int PERCENT = 100;

	private final ServiceName name;

	private final RequestQueue queue = new RequestQueue();

	private final RetryBudget retryBudget = new RetryBudget();

	private final ConcurrencyLimit limit = new ConcurrencyLimit();

	private final ServiceAverages averages = new ServiceAverages();

	private final Deque<ServiceState> releasedServices;

	private Policy policy;

	private TrackedServer[] servers = new TrackedServer[0];

	private int entryVmCount = 1;

	private int inFlight;

	private boolean released;

	/**
	 * Creates the state of a service without backend servers.
	 * @param name the name of the service
	 * @param policy the policy of the service
	 * @param releasedServices the queue to which this service is added when capacity
	 * becomes free
	 */
	ServiceState(ServiceName name, Policy policy, Deque<ServiceState> releasedServices) {
		this.releasedServices = releasedServices;
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

	RetryBudget retryBudget() {
		return this.retryBudget;
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

	int entryVmCount() {
		return this.entryVmCount;
	}

	void setPolicy(Policy policy) {
		this.policy = policy;
	}

	void setServers(TrackedServer[] servers, int entryVmCount) {
		this.servers = servers;
		this.entryVmCount = Math.max(1, entryVmCount);
	}

	void attemptStarted() {
		this.inFlight++;
	}

	void attemptEnded() {
		this.inFlight--;
		if (!this.released) {
			this.released = true;
			this.releasedServices.addLast(this);
		}
	}

	/**
	 * Returns whether capacity became free since the last call, and clears the mark.
	 * @return {@code true} if queued requests may be dispatched
	 */
	boolean takeReleased() {
		boolean wasReleased = this.released;
		this.released = false;
		return wasReleased;
	}

	boolean isLimitReached() {
		return this.limit.isReached(this.inFlight);
	}

	/**
	 * Updates the concurrency limit from the slots of the usable backend servers.
	 */
	void updateLimit() {
		int slots = 0;
		for (TrackedServer server : this.servers) {
			if (server.isInService()) {
				slots += (server.isWarm()) ? server.capacity() : server.coldConcurrency();
			}
		}
		this.limit.setSlots(slots);
	}

	/**
	 * Returns whether one more backend server may be excluded because of slow or failed
	 * responses.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if enough backend servers remain
	 */
	boolean canExcludeServer(long now) {
		int usable = 0;
		for (TrackedServer server : this.servers) {
			if (server.isInService() && server.isWarm() && !server.outcomes().isEjected(now)) {
				usable++;
			}
		}
		int excluded = this.servers.length - usable + 1;
		return excluded * PERCENT <= this.servers.length * this.policy.ejectMaxPercent();
	}

}
