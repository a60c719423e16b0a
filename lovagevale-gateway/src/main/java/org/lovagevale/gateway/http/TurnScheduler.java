package org.lovagevale.gateway.http;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import org.lovagevale.base.Clock;

/**
 * Runs the work of connections that have more to do than fits into one turn of the event
 * loop, in the order in which they ask for it.
 *
 * <p>
 * Invariants: all of it together takes at most {@link #MAX_RUN_MS} and one turn of a
 * connection before the event loop serves the others, however many connections have such
 * work; long turns take at most half of the time of the event loop, so that they never
 * delay short ones, timers and other connections for longer than one of them takes.
 * Confined to the event loop.
 */
public final class TurnScheduler {

	/** Time after which the event loop serves other connections, in milliseconds. */
	private static final long MAX_RUN_MS = 2;

	/**
	 * Time until the next turns run, in milliseconds. Without a delay, the event loop
	 * would run them before it reads from other connections.
	 */
	private static final long PAUSE_MS = 1;

	private final EventLoop loop;

	private final Clock clock;

	private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();

	/** The turns that take long. */
	private final ArrayDeque<BooleanSupplier> waitingLong = new ArrayDeque<>();

	private boolean scheduled;

	private boolean longScheduled;

	/**
	 * Creates a scheduler without work.
	 * @param loop the event loop
	 * @param clock the clock
	 */
	public TurnScheduler(EventLoop loop, Clock clock) {
		this.loop = loop;
		this.clock = clock;
	}

	/**
	 * Adds a turn behind those that wait.
	 * @param turn the work of one connection, which takes a short time
	 */
	void add(Runnable turn) {
		this.waiting.add(turn);
		schedule();
	}

	private void schedule() {
		if (!this.scheduled) {
			this.scheduled = true;
			this.loop.schedule(this::run, PAUSE_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void run() {
		this.scheduled = false;
		long startedAt = this.clock.millis();
		try {
			while (!this.waiting.isEmpty() && this.clock.millis() - startedAt < MAX_RUN_MS) {
				this.waiting.remove().run();
			}
		}
		finally {
			if (!this.waiting.isEmpty()) {
				schedule();
			}
		}
	}

	/**
	 * Adds a turn that takes long behind those that do as well.
	 * @param turn the work of one connection; returns whether there was still work to do
	 */
	void addLong(BooleanSupplier turn) {
		this.waitingLong.add(turn);
		scheduleLong(PAUSE_MS);
	}

	private void scheduleLong(long delayMs) {
		if (!this.longScheduled) {
			this.longScheduled = true;
			this.loop.schedule(this::runLong, delayMs, TimeUnit.MILLISECONDS);
		}
	}

	private void runLong() {
		this.longScheduled = false;
		long startedAt = this.clock.millis();
		try {
			boolean done = false;
			while (!done && !this.waitingLong.isEmpty()) {
				done = this.waitingLong.remove().getAsBoolean();
			}
		}
		finally {
			if (!this.waitingLong.isEmpty()) {
				scheduleLong(Math.max(PAUSE_MS, this.clock.millis() - startedAt));
			}
		}
	}

}
