package org.lovagevale.node.wiring;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.lovagevale.base.LogLine;
import org.lovagevale.core.decision.Decision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A queue of decisions that one handler executes, one at a time and in the order in which
 * they were added.
 *
 * <p>
 * Thread-safe.
 */
final class Mailbox {

	private static final Logger LOG = LoggerFactory.getLogger(Mailbox.class);

	private final Queue<Decision> decisions = new ConcurrentLinkedQueue<>();

	private final AtomicInteger pendingRuns = new AtomicInteger();

	private final Executor executor;

	private final Consumer<Decision> handler;

	Mailbox(Executor executor, Consumer<Decision> handler) {
		this.executor = executor;
		this.handler = handler;
	}

	void add(Decision decision) {
		this.decisions.add(decision);
	}

	/**
	 * Schedules the execution of the queued decisions unless it is scheduled or running
	 * already.
	 */
	void run() {
		if (this.decisions.isEmpty() || this.pendingRuns.getAndIncrement() != 0) {
			return;
		}
		try {
			this.executor.execute(this::drain);
		}
		catch (RejectedExecutionException ex) {
			LOG.debug("{}", LogLine.event("decisions.dropped").with("reason", "event loop is shut down"));
		}
	}

	private void drain() {
		int handledRuns = this.pendingRuns.get();
		while (handledRuns != 0) {
			Decision decision = this.decisions.poll();
			while (decision != null) {
				handle(decision);
				decision = this.decisions.poll();
			}
			handledRuns = this.pendingRuns.addAndGet(-handledRuns);
		}
	}

	private void handle(Decision decision) {
		try {
			this.handler.accept(decision);
		}
		catch (RuntimeException ex) {
			LOG.error("{}", LogLine.event("decision.failed").with("decision", decision.getClass().getSimpleName()), ex);
		}
	}

}
