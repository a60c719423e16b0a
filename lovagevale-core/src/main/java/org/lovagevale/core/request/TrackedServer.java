package org.lovagevale.core.request;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.ServerState;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.Policy;

/**
 * The state of a backend server as known to this process.
 *
 * <p>
 * Not thread-safe.
 */
final class TrackedServer {

	// A server may continue to run a cancelled attempt until it notices the closed
	// connection.
	private static final long CANCELLATION_DELAY_MS = 100;

	// Keeps the entries of peers up to date without a message for each answer.
	private static final long REANNOUNCE_INTERVAL_MS = 1_000;

	private final ServerHealth health;

	private final ServerOutcomes outcomes = new ServerOutcomes();

	private final LoadEstimate load = new LoadEstimate();

	private final ProbeBudget probeBudget = new ProbeBudget();

	private BackendServer definition;

	private Policy policy;

	private ServiceState service;

	private int slots;

	private int connections;

	private double linkCost;

	private boolean sameRegion;

	private boolean inSettings = true;

	private boolean leaving;

	private int inFlight;

	private long coldCapacityBlockedUntil = Long.MIN_VALUE;

	private long notOwnedTick = Long.MIN_VALUE;

	private ServerState announcedState = ServerState.UNKNOWN;

	private ServerState auditedState = ServerState.UNKNOWN;

	private long announcedAt = Long.MIN_VALUE / 2;

	/**
	 * Creates the state of a backend server that is not known yet.
	 * @param definition the backend server as defined in the settings
	 * @param service the state of its service
	 * @param knownSince the monotonic time in milliseconds from which on observations of
	 * peers are used
	 */
	TrackedServer(BackendServer definition, ServiceState service, long knownSince) {
		this.definition = definition;
		this.service = service;
		this.policy = service.policy();
		this.slots = this.policy.slots();
		this.health = new ServerHealth(knownSince);
	}

	BackendServer definition() {
		return this.definition;
	}

	ServiceState service() {
		return this.service;
	}

	ServerHealth health() {
		return this.health;
	}

	ServerOutcomes outcomes() {
		return this.outcomes;
	}

	ProbeBudget probeBudget() {
		return this.probeBudget;
	}

	boolean isInSameRegion() {
		return this.sameRegion;
	}

	int inFlight() {
		return this.inFlight;
	}

	int coldConcurrency() {
		return this.policy.coldConcurrency();
	}

	/**
	 * Applies new settings.
	 * @param definition the backend server as defined in the settings
	 * @param service the state of its service
	 * @param locality the locality of the server relative to this VM
	 * @param now the monotonic time in milliseconds
	 */
	void configure(BackendServer definition, ServiceState service, ServerLocality locality, long now) {
		boolean returning = !this.inSettings || isWithdrawn(this.definition) && !isWithdrawn(definition);
		boolean moved = !definition.host().equals(this.definition.host())
				|| definition.port() != this.definition.port();
		if (returning || moved) {
			this.health.clearState(now);
		}
		moveTo(service);
		this.definition = definition;
		this.policy = service.policy();
		this.connections = locality.connections();
		this.sameRegion = locality.sameRegion();
		this.linkCost = locality.linkCost(this.policy.slots());
		this.slots = (this.slots > 0) ? this.slots : this.policy.slots();
		this.inSettings = true;
	}

	private void moveTo(ServiceState next) {
		for (int i = 0; i < this.inFlight && next != this.service; i++) {
			this.service.attemptEnded();
			next.attemptStarted();
		}
		this.service = next;
	}

	private static boolean isWithdrawn(BackendServer server) {
		return server.out() || server.drain();
	}

	/**
	 * Records that the server is no longer in the settings.
	 */
	void markRemoved() {
		this.inSettings = false;
	}

	/**
	 * Updates whether the platform lists the server as leaving.
	 * @param leaving whether the server is listed as leaving
	 * @param now the monotonic time in milliseconds
	 */
	void setLeaving(boolean leaving, long now) {
		if (this.leaving && !leaving) {
			this.health.clearState(now);
		}
		this.leaving = leaving;
	}

	/**
	 * Returns whether the server may get new requests or probes at all.
	 * @return {@code false} if the server is out of service, draining, leaving or removed
	 */
	boolean isInService() {
		return this.inSettings && !this.leaving && !isWithdrawn(this.definition)
				&& this.health.state() != ServerState.DRAINING;
	}

	boolean isWarm() {
		return this.health.state() == ServerState.WARM;
	}

	/**
	 * Returns the number of requests that this process may run on the server while it is
	 * warm.
	 * @return the number of requests
	 */
	int capacity() {
		return Math.min(this.slots, this.connections);
	}

	boolean hasWarmCapacity() {
		return this.inFlight < capacity();
	}

	boolean hasColdCapacity(long now) {
		return this.inFlight < this.policy.coldConcurrency() && now >= this.coldCapacityBlockedUntil;
	}

	/**
	 * Caches the result that this process does not own the server, so that ownership is
	 * not computed again before the next tick.
	 * @param tick the number of the tick
	 */
	void markNotOwned(long tick) {
		this.notOwnedTick = tick;
	}

	boolean isNotOwned(long tick) {
		return this.notOwnedTick == tick;
	}

	/**
	 * Returns the routing score.
	 * @param now the monotonic time in milliseconds
	 * @return the score in requests; lower is better
	 */
	double score(long now) {
		double othersInFlight = this.load.estimate(this.service.averages().othersInFlight(),
				this.service.entryVmCount(), now);
		return this.inFlight + othersInFlight + this.linkCost + this.outcomes.penalty(now);
	}

	void attemptStarted() {
		this.inFlight++;
		this.service.attemptStarted();
	}

	void attemptEnded() {
		this.inFlight--;
		this.service.attemptEnded();
	}

	/**
	 * Records that an attempt was cancelled. The server gets no cold-start request until
	 * it can have noticed the cancellation.
	 * @param attemptEnd the monotonic time in milliseconds at which the attempt would
	 * have timed out
	 * @param now the monotonic time in milliseconds
	 */
	void attemptCancelled(long attemptEnd, long now) {
		attemptEnded();
		this.coldCapacityBlockedUntil = Math.max(this.coldCapacityBlockedUntil,
				Math.min(attemptEnd, now + CANCELLATION_DELAY_MS));
	}

	/**
	 * Updates the state from an answer to a request or a probe.
	 * @param report the load report in the answer, or {@code null}
	 * @param successful whether the answer was successful
	 * @param now the monotonic time in milliseconds
	 */
	void recordAnswer(@Nullable LoadReport report, boolean successful, long now) {
		this.health.recordAnswer(report, successful, this.policy.warmAfterAnswers(), now);
		if (report == null) {
			return;
		}
		if (report.slots() > 0) {
			this.slots = report.slots();
		}
		this.service.averages().addOthersInFlight(this.load.update(report, this.inFlight, now));
	}

	/**
	 * Records that the server rejected a request for lack of capacity.
	 * @param now the monotonic time in milliseconds
	 */
	void recordShed(long now) {
		this.load.markFull(this.slots, this.inFlight, now);
		this.service.limit().decrease(now);
	}

	/**
	 * Returns whether the state should be announced to peers after an observation, and if
	 * so records the announcement.
	 *
	 * <p>
	 * An unknown state is announced only if this process detected a loss of state.
	 * Otherwise this process may merely lack observations that peers have.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the state changed or the last announcement is too old
	 */
	boolean markAnnouncedIfDue(long now) {
		ServerState state = this.health.state();
		boolean lostState = this.health.takeLostState();
		if (state == ServerState.UNKNOWN && !lostState) {
			return false;
		}
		if (state == this.announcedState && !lostState && now - this.announcedAt < REANNOUNCE_INTERVAL_MS) {
			return false;
		}
		this.announcedState = state;
		this.announcedAt = now;
		return true;
	}

	/**
	 * Returns the change of state since the last call.
	 * @return the old and new state separated by {@code >}, or an empty string if there
	 * was no change
	 */
	String takeStateChange() {
		ServerState state = this.health.state();
		if (state == this.auditedState) {
			return "";
		}
		String change = this.auditedState + ">" + state;
		this.auditedState = state;
		return change;
	}

	@Override
	public String toString() {
		return this.definition.name().value();
	}

}
