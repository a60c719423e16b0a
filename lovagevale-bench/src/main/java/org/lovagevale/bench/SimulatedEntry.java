package org.lovagevale.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.lovagevale.base.Clock;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.fleet.FleetLogic;
import org.lovagevale.core.keys.KeyTable;

/**
 * The fleet logic of one simulated entry process, with the events not yet delivered to it
 * and the decisions not yet executed.
 *
 * <p>
 * Not thread-safe.
 */
final class SimulatedEntry {

	private final ProcessIdentity self;

	private final FleetLogic logic;

	private List<Decision> decisions = new ArrayList<>();

	private List<Event> pendingEvents = new ArrayList<>();

	/** The peers to which the process keeps links. */
	Set<VmName> wantedPeers = Set.of();

	/** Whether a settings read is outstanding. */
	boolean settingsReadPending;

	/** The settings version that the process had when the outstanding read began. */
	long knownVersion;

	/**
	 * Clock time in milliseconds at which the outstanding read ends if nothing changed.
	 */
	long readDeadlineMs;

	SimulatedEntry(String vm, Clock clock, long seed) {
		this.self = new ProcessIdentity(new VmName(vm), new Incarnation(clock.epochMillis(), 0));
		this.logic = new FleetLogic(this.self, clock, new SeededRandom(seed), new KeyTable(this.self, clock),
				(decision) -> this.decisions.add(decision));
	}

	ProcessIdentity self() {
		return this.self;
	}

	VmName vm() {
		return this.self.vm();
	}

	FleetLogic logic() {
		return this.logic;
	}

	void enqueue(Event event) {
		this.pendingEvents.add(event);
	}

	/**
	 * Removes and returns the events that are not yet delivered.
	 * @return the events in order of arrival
	 */
	List<Event> drainEvents() {
		List<Event> events = this.pendingEvents;
		this.pendingEvents = new ArrayList<>();
		return events;
	}

	/**
	 * Removes and returns the decisions made since the last call.
	 * @return the decisions in order
	 */
	List<Decision> drainDecisions() {
		List<Decision> made = this.decisions;
		this.decisions = new ArrayList<>();
		return made;
	}

}
