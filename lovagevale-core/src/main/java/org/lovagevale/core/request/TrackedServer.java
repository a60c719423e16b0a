package org.lovagevale.core.request;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.ServerState;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.Policy;

/**
 * What this process knows of a backend server.
 *
 * <p>
 * Not thread-safe.
 */
final class TrackedServer {

	// A server needs a moment to notice that the connection of an attempt was closed.
	private static final long CANCEL_MS = 100;

	// Keeps the entries of peers fresh without a message for each answer.
	private static final long TELL_AGAIN_MS = 1_000;

	private final ServerHealth health;

	private final ServerOutcomes outcomes = new ServerOutcomes();

	private final LoadEstimate load = new LoadEstimate();

	private final ProbeBudget probes = new ProbeBudget();

	private BackendServer definition;

	private Policy policy;

	private ServicePool pool;

	private int slots;

	private int connections;

	private double linkCost;

	private boolean near;

	private boolean listed = true;

	private boolean leaving;

	private int inFlight;

	private long coldHoldUntil = Long.MIN_VALUE;

	private long notOwnedAt = Long.MIN_VALUE;

	private ServerState toldState = ServerState.UNKNOWN;

	private ServerState notedState = ServerState.UNKNOWN;

	private long toldAt = Long.MIN_VALUE / 2;

	/**
	 * Creates the state of a backend server that is not known yet.
	 * @param definition the backend server as published
	 * @param pool its service
	 * @param knownSince the monotonic time in milliseconds from which observations of
	 * peers count
	 */
	TrackedServer(BackendServer definition, ServicePool pool, long knownSince) {
		this.definition = definition;
		this.pool = pool;
		this.policy = pool.policy();
		this.slots = this.policy.slots();
		this.health = new ServerHealth(knownSince);
	}

	BackendServer definition() {
		return this.definition;
	}

	ServicePool pool() {
		return this.pool;
	}

	ServerHealth health() {
		return this.health;
	}

	ServerOutcomes outcomes() {
		return this.outcomes;
	}

	ProbeBudget probes() {
		return this.probes;
	}

	boolean isNear() {
		return this.near;
	}

	int inFlight() {
		return this.inFlight;
	}

	int coldConcurrency() {
		return this.policy.coldConcurrency();
	}

	/**
	 * Uses other settings from now on.
	 * @param definition the backend server as published
	 * @param pool its service
	 * @param placement how this VM reaches it
	 * @param now the monotonic time in milliseconds
	 */
	void configure(BackendServer definition, ServicePool pool, Placement placement, long now) {
		boolean returns = !this.listed || isOut(this.definition) && !isOut(definition);
		boolean moved = !definition.host().equals(this.definition.host())
				|| definition.port() != this.definition.port();
		if (returns || moved) {
			this.health.forget(now);
		}
		moveTo(pool);
		this.definition = definition;
		this.policy = pool.policy();
		this.connections = placement.connections();
		this.near = placement.sameRegion();
		this.linkCost = placement.linkCost(this.policy.slots());
		this.slots = (this.slots > 0) ? this.slots : this.policy.slots();
		this.listed = true;
	}

	private void moveTo(ServicePool next) {
		for (int i = 0; i < this.inFlight && next != this.pool; i++) {
			this.pool.end();
			next.start();
		}
		this.pool = next;
	}

	private static boolean isOut(BackendServer server) {
		return server.out() || server.drain();
	}

	/**
	 * Records that the settings no longer have it.
	 */
	void remove() {
		this.listed = false;
	}

	/**
	 * Uses the list of the platform.
	 * @param leaving whether it is listed as leaving
	 * @param now the monotonic time in milliseconds
	 */
	void useLeaving(boolean leaving, long now) {
		if (this.leaving && !leaving) {
			this.health.forget(now);
		}
		this.leaving = leaving;
	}

	/**
	 * Tells whether it may get new work or probes at all.
	 * @return {@code false} if it is out, draining, leaving or removed
	 */
	boolean isInService() {
		return this.listed && !this.leaving && !isOut(this.definition) && this.health.state() != ServerState.DRAINING;
	}

	boolean isWarm() {
		return this.health.state() == ServerState.WARM;
	}

	/**
	 * Returns how many requests this process may run on it while it is warm.
	 * @return the number of requests
	 */
	int capacity() {
		return Math.min(this.slots, this.connections);
	}

	boolean hasWarmCapacity() {
		return this.inFlight < capacity();
	}

	boolean hasColdCapacity(long now) {
		return this.inFlight < this.policy.coldConcurrency() && now >= this.coldHoldUntil;
	}

	/**
	 * Remembers that this process does not own it, so that the owner is not computed
	 * again before the next tick.
	 * @param tick the number of the tick
	 */
	void markNotOwned(long tick) {
		this.notOwnedAt = tick;
	}

	boolean isNotOwned(long tick) {
		return this.notOwnedAt == tick;
	}

	/**
	 * Returns the score for routing.
	 * @param now the monotonic time in milliseconds
	 * @return the score in requests, lower is better
	 */
	double score(long now) {
		double others = this.load.at(this.pool.averages().othersInFlight(), this.pool.entryVms(), now);
		return this.inFlight + others + this.linkCost + this.outcomes.penalty(now);
	}

	void start() {
		this.inFlight++;
		this.pool.start();
	}

	void end() {
		this.inFlight--;
		this.pool.end();
	}

	/**
	 * Records that an attempt was cancelled, which the backend server notices later.
	 * @param attemptEnd when the attempt would have ended, monotonic in milliseconds
	 * @param now the monotonic time in milliseconds
	 */
	void cancel(long attemptEnd, long now) {
		end();
		this.coldHoldUntil = Math.max(this.coldHoldUntil, Math.min(attemptEnd, now + CANCEL_MS));
	}

	/**
	 * Uses an answer or a probe.
	 * @param report the report in it, or {@code null}
	 * @param good whether it was successful
	 * @param now the monotonic time in milliseconds
	 */
	void answered(@Nullable LoadReport report, boolean good, long now) {
		this.health.answered(report, good, this.policy.warmAfterAnswers(), now);
		if (report == null) {
			return;
		}
		if (report.slots() > 0) {
			this.slots = report.slots();
		}
		this.pool.averages().addOthersInFlight(this.load.update(report, this.inFlight, now));
	}

	/**
	 * Records that it rejected a request for lack of capacity.
	 * @param now the monotonic time in milliseconds
	 */
	void shed(long now) {
		this.load.markFull(this.slots, this.inFlight, now);
		this.pool.limit().decrease(now);
	}

	/**
	 * Tells whether peers should be told its state after an observation.
	 *
	 * <p>
	 * An unknown state is told only if this process found that it was lost: peers may
	 * know more than a process that merely has not heard enough yet.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the state changed or was told long ago
	 */
	boolean takeTelling(long now) {
		ServerState state = this.health.state();
		boolean lostState = this.health.takeLostState();
		if (state == ServerState.UNKNOWN && !lostState) {
			return false;
		}
		if (state == this.toldState && !lostState && now - this.toldAt < TELL_AGAIN_MS) {
			return false;
		}
		this.toldState = state;
		this.toldAt = now;
		return true;
	}

	/**
	 * Describes the change of state since the last call.
	 * @return the states, empty if there was no change
	 */
	String takeStateChange() {
		ServerState state = this.health.state();
		if (state == this.notedState) {
			return "";
		}
		String change = this.notedState + ">" + state;
		this.notedState = state;
		return change;
	}

	@Override
	public String toString() {
		return this.definition.name().value();
	}

}
