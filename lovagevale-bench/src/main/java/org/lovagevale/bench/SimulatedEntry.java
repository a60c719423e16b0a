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
 * The fleet logic of one entry process with what is on its way to it.
 *
 * <p>
 * Not thread-safe.
 */
final class SimulatedEntry {

	private final ProcessIdentity self;

	private final FleetLogic logic;

	private List<Decision> decisions = new ArrayList<>();

	private List<Event> arriving = new ArrayList<>();

	/** The peers to which it keeps links. */
	Set<VmName> wanted = Set.of();

	/** Whether a read of the settings is outstanding. */
	boolean reading;

	/** The version that the outstanding read has. */
	long readVersion;

	/** When the outstanding read is answered at the latest. */
	long readUntil;

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

	void arrive(Event event) {
		this.arriving.add(event);
	}

	/**
	 * Takes the events that arrived up to now.
	 * @return the events in order
	 */
	List<Event> takeArrived() {
		List<Event> arrived = this.arriving;
		this.arriving = new ArrayList<>();
		return arrived;
	}

	/**
	 * Takes the decisions made since the last call.
	 * @return the decisions in order
	 */
	List<Decision> takeDecisions() {
		List<Decision> made = this.decisions;
		this.decisions = new ArrayList<>();
		return made;
	}

}
