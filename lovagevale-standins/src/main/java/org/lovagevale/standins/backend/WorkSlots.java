package org.lovagevale.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;

/**
 * The slots, the queue and the cold state of a backend server stand-in.
 *
 * <p>
 * If a request exceeds the concurrency limit of a cold server, all service times are
 * multiplied by {@link Behaviour#coldSlowdown()} until no request is in flight.
 * Thread-safe.
 */
final class WorkSlots {

	private final Supplier<Behaviour> behaviour;

	private final Clock clock;

	private final long startedAtMs;

	private final Deque<RequestExecution> queue = new ArrayDeque<>();

	private int running;

	private int completed;

	private int maxInFlight;

	private boolean cold;

	private boolean coldLimitExceeded;

	WorkSlots(Supplier<Behaviour> behaviour, Clock clock, boolean cold) {
		this.behaviour = behaviour;
		this.clock = clock;
		this.cold = cold;
		this.startedAtMs = clock.millis();
	}

	synchronized OfferResult offer(RequestExecution execution) {
		Behaviour current = this.behaviour.get();
		int inFlightBefore = this.running + this.queue.size();
		boolean coldViolation = isCold() && inFlightBefore >= current.coldConcurrency();
		if (coldViolation) {
			this.coldLimitExceeded = true;
		}
		if (this.running < current.slots()) {
			startNow(execution);
			return new OfferResult(true, coldViolation);
		}
		if (this.queue.size() >= current.queueLength()) {
			return new OfferResult(false, coldViolation);
		}
		execution.setStage(RequestExecution.ExecutionStage.QUEUED);
		this.queue.add(execution);
		this.maxInFlight = Math.max(this.maxInFlight, inFlightBefore + 1);
		return new OfferResult(true, coldViolation);
	}

	/**
	 * Removes a request and starts queued requests in the free slots. Does nothing if the
	 * request was already removed.
	 * @param execution the request
	 * @param answered whether the request ran and its response was sent completely
	 * @return the stage of the request before the removal
	 */
	RequestExecution.ExecutionStage finish(RequestExecution execution, boolean answered) {
		RequestExecution.ExecutionStage stage;
		synchronized (this) {
			stage = execution.stage();
			if (stage == RequestExecution.ExecutionStage.DONE) {
				return stage;
			}
			remove(execution, answered);
		}
		startQueued();
		return stage;
	}

	synchronized boolean isCold() {
		Behaviour current = this.behaviour.get();
		boolean coldTimeElapsed = this.clock.millis() - this.startedAtMs >= current.coldMs();
		if (this.cold && (coldTimeElapsed || this.completed >= current.coldAnswers())) {
			this.cold = false;
		}
		return this.cold;
	}

	synchronized void endColdStart() {
		this.cold = false;
	}

	synchronized int inFlight() {
		return this.running + this.queue.size();
	}

	synchronized int maxInFlight() {
		return this.maxInFlight;
	}

	synchronized double slowdownFactor() {
		return this.coldLimitExceeded ? this.behaviour.get().coldSlowdown() : 1;
	}

	// The caller holds the lock.
	private void remove(RequestExecution execution, boolean answered) {
		if (execution.stage() == RequestExecution.ExecutionStage.RUNNING) {
			this.running--;
		}
		else {
			this.queue.remove(execution);
		}
		execution.setStage(RequestExecution.ExecutionStage.DONE);
		if (answered) {
			this.completed++;
		}
		if (inFlight() == 0) {
			this.coldLimitExceeded = false;
		}
	}

	private void startQueued() {
		RequestExecution next = takeNextQueued();
		while (next != null) {
			next.start();
			next = takeNextQueued();
		}
	}

	private synchronized @Nullable RequestExecution takeNextQueued() {
		if (this.running >= this.behaviour.get().slots()) {
			return null;
		}
		RequestExecution next = this.queue.poll();
		if (next != null) {
			this.running++;
			next.setStage(RequestExecution.ExecutionStage.RUNNING);
		}
		return next;
	}

	// The caller holds the lock.
	private void startNow(RequestExecution execution) {
		this.running++;
		this.maxInFlight = Math.max(this.maxInFlight, this.running + this.queue.size());
		execution.setStage(RequestExecution.ExecutionStage.RUNNING);
		execution.start();
	}

	/**
	 * The result of offering a request.
	 *
	 * @param accepted whether the request runs or waits for a slot
	 * @param coldViolation whether the request exceeded the concurrency limit of a cold
	 * server
	 */
	record OfferResult(boolean accepted, boolean coldViolation) {
	}

}
