package org.lovagevale.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;

/**
 * The slots, the queue and the cold start state of a backend server instance.
 *
 * <p>
 * If a request exceeds the concurrency limit of a cold start, all service times are
 * multiplied by the cold slowdown until no request is in flight. Thread-safe.
 */
final class WorkSlots {

	private final Supplier<Behaviour> behaviour;

	private final Clock clock;

	private final long startedAtMs;

	private final Deque<RequestExecution> queue = new ArrayDeque<>();

	private int running;

	private int answers;

	private int maxInFlight;

	private boolean cold;

	private boolean coldLimitExceeded;

	WorkSlots(Supplier<Behaviour> behaviour, Clock clock, boolean cold) {
		this.behaviour = behaviour;
		this.clock = clock;
		this.cold = cold;
		this.startedAtMs = clock.millis();
	}

	synchronized Admission offer(RequestExecution execution) {
		Behaviour now = this.behaviour.get();
		int others = this.running + this.queue.size();
		boolean violation = isCold() && others >= now.coldConcurrency();
		if (violation) {
			this.coldLimitExceeded = true;
		}
		if (this.running < now.slots()) {
			startNow(execution);
			return new Admission(true, violation);
		}
		if (this.queue.size() >= now.queueLength()) {
			return new Admission(false, violation);
		}
		execution.setStage(RequestExecution.Stage.QUEUED);
		this.queue.add(execution);
		this.maxInFlight = Math.max(this.maxInFlight, others + 1);
		return new Admission(true, violation);
	}

	/**
	 * Removes a request and starts queued requests in the free slots. Does nothing if the
	 * request was already removed.
	 * @param execution the request
	 * @param answered whether the request ran and its response was sent completely
	 * @return the stage of the request before the removal
	 */
	RequestExecution.Stage finish(RequestExecution execution, boolean answered) {
		RequestExecution.Stage stage;
		synchronized (this) {
			stage = execution.stage();
			if (stage == RequestExecution.Stage.DONE) {
				return stage;
			}
			remove(execution, answered);
		}
		startNext();
		return stage;
	}

	synchronized boolean isCold() {
		Behaviour now = this.behaviour.get();
		boolean coldTimeOver = this.clock.millis() - this.startedAtMs >= now.coldMs();
		if (this.cold && (coldTimeOver || this.answers >= now.coldAnswers())) {
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

	private void remove(RequestExecution execution, boolean answered) {
		if (execution.stage() == RequestExecution.Stage.RUNNING) {
			this.running--;
		}
		else {
			this.queue.remove(execution);
		}
		execution.setStage(RequestExecution.Stage.DONE);
		if (answered) {
			this.answers++;
		}
		if (inFlight() == 0) {
			this.coldLimitExceeded = false;
		}
	}

	private void startNext() {
		RequestExecution next = pollNext();
		while (next != null) {
			next.start();
			next = pollNext();
		}
	}

	private synchronized @Nullable RequestExecution pollNext() {
		if (this.running >= this.behaviour.get().slots()) {
			return null;
		}
		RequestExecution next = this.queue.poll();
		if (next != null) {
			this.running++;
			next.setStage(RequestExecution.Stage.RUNNING);
		}
		return next;
	}

	private void startNow(RequestExecution execution) {
		this.running++;
		this.maxInFlight = Math.max(this.maxInFlight, this.running + this.queue.size());
		execution.setStage(RequestExecution.Stage.RUNNING);
		execution.start();
	}

	/**
	 * The result of offering a request.
	 *
	 * @param accepted whether the request runs or waits for a slot
	 * @param coldViolation whether the request exceeded the concurrency limit of a cold
	 * start
	 */
	record Admission(boolean accepted, boolean coldViolation) {
	}

}
