package org.lovagevale.core.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;

import org.lovagevale.base.ManualClock;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.keys.KeyTable;

/**
 * One incarnation of a process in a simulated fleet. Events are queued while it is
 * paused.
 */
final class SimulatedNode {

	final ProcessIdentity self;

	final ManualClock clock;

	final FleetLogic logic;

	final List<Decision> decisions = new ArrayList<>();

	final Deque<Delivery> inbox = new ArrayDeque<>();

	Set<VmName> wantedPeers = Set.of();

	long pausedUntil;

	long newestWrittenAt = Long.MIN_VALUE / 2;

	long version;

	SimulatedNode(String vm, long now, long wallClockOffset, long seed) {
		this.self = new ProcessIdentity(new VmName(vm), new Incarnation(now, 0));
		this.clock = new ManualClock(now, 1_000_000 + now + wallClockOffset);
		this.logic = new FleetLogic(this.self, this.clock, new SeededRandom(seed), new KeyTable(this.self, this.clock),
				this.decisions::add);
	}

	VmName vm() {
		return this.self.vm();
	}

	boolean isPaused(long now) {
		return now < this.pausedUntil;
	}

	/**
	 * Handles the queued events, then a tick.
	 * @return the decisions made
	 */
	List<Decision> run() {
		while (!this.inbox.isEmpty()) {
			Delivery delivery = this.inbox.removeFirst();
			this.newestWrittenAt = Math.max(this.newestWrittenAt, delivery.writtenAt());
			this.logic.apply(delivery.event());
		}
		this.logic.apply(new Ticked());
		List<Decision> newDecisions = List.copyOf(this.decisions);
		this.decisions.clear();
		return newDecisions;
	}

	/**
	 * An event in transit to a process.
	 *
	 * @param at when it arrives, in simulated milliseconds
	 * @param writtenAt when its content was written, in simulated milliseconds
	 * @param to the process
	 * @param event the event
	 */
	record Delivery(long at, long writtenAt, SimulatedNode to, Event event) {

	}

}
