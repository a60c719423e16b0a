package org.lovagevale.standins.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;

/**
 * The slots, the queue and the cold start of one run of a backend server.
 *
 * <p>
 * A server that receives more than it bears in a cold start slows down until it has no
 * request left. Thread-safe.
 */
final class WorkSlots {

	private final Supplier<Behaviour> behaviour;

	private final Clock clock;

	private final long startedAt;

	private final Deque<Work> queue = new ArrayDeque<>();

	private int running;

	private int answers;

	private int highest;

	private boolean cold;

	private boolean overwhelmed;

	WorkSlots(Supplier<Behaviour> behaviour, Clock clock, boolean cold) {
		this.behaviour = behaviour;
		this.clock = clock;
		this.cold = cold;
		this.startedAt = clock.millis();
	}

	synchronized Admission offer(Work work) {
		Behaviour now = this.behaviour.get();
		int others = this.running + this.queue.size();
		boolean violation = isCold() && others >= now.coldConcurrency();
		if (violation) {
			this.overwhelmed = true;
		}
		if (this.running < now.slots()) {
			begin(work);
			return new Admission(true, violation);
		}
		if (this.queue.size() >= now.queueLength()) {
			return new Admission(false, violation);
		}
		work.moveTo(Work.Stage.QUEUED);
		this.queue.add(work);
		this.highest = Math.max(this.highest, others + 1);
		return new Admission(true, violation);
	}

	/**
	 * Takes a request out and starts the ones that waited for its slot.
	 * @param work the request
	 * @param answered whether it ran and was answered
	 * @return the stage that it was in
	 */
	Work.Stage finish(Work work, boolean answered) {
		Work.Stage stage;
		synchronized (this) {
			stage = work.stage();
			if (stage == Work.Stage.DONE) {
				return stage;
			}
			remove(work, answered);
		}
		startNext();
		return stage;
	}

	synchronized boolean isCold() {
		Behaviour now = this.behaviour.get();
		boolean old = this.clock.millis() - this.startedAt >= now.coldMs();
		if (this.cold && (old || this.answers >= now.coldAnswers())) {
			this.cold = false;
		}
		return this.cold;
	}

	synchronized void warm() {
		this.cold = false;
	}

	synchronized int inFlight() {
		return this.running + this.queue.size();
	}

	synchronized int highest() {
		return this.highest;
	}

	synchronized double slowdown() {
		return this.overwhelmed ? this.behaviour.get().coldSlowdown() : 1;
	}

	private void remove(Work work, boolean answered) {
		if (work.stage() == Work.Stage.RUNNING) {
			this.running--;
		}
		else {
			this.queue.remove(work);
		}
		work.moveTo(Work.Stage.DONE);
		if (answered) {
			this.answers++;
		}
		if (inFlight() == 0) {
			this.overwhelmed = false;
		}
	}

	private void startNext() {
		Work next = takeNext();
		while (next != null) {
			next.start();
			next = takeNext();
		}
	}

	private synchronized @Nullable Work takeNext() {
		if (this.running >= this.behaviour.get().slots()) {
			return null;
		}
		Work next = this.queue.poll();
		if (next != null) {
			this.running++;
			next.moveTo(Work.Stage.RUNNING);
		}
		return next;
	}

	private void begin(Work work) {
		this.running++;
		this.highest = Math.max(this.highest, this.running + this.queue.size());
		work.moveTo(Work.Stage.RUNNING);
		work.start();
	}

	/**
	 * The answer to an offered request.
	 *
	 * @param accepted whether it runs or waits
	 * @param coldViolation whether it exceeded what the server bears in a cold start
	 */
	record Admission(boolean accepted, boolean coldViolation) {
	}

}
