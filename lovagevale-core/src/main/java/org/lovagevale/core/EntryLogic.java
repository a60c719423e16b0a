package org.lovagevale.core;

import java.util.ArrayList;
import java.util.List;

import org.lovagevale.base.Clock;
import org.lovagevale.base.RandomSource;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.fleet.FleetCounters;
import org.lovagevale.core.fleet.FleetLogic;
import org.lovagevale.core.keys.IdempotencyKeyStore;
import org.lovagevale.core.keys.KeyTable;
import org.lovagevale.core.request.RequestLogic;
import org.lovagevale.settings.model.Settings;

/**
 * The decision logic of an entry process. It combines the logic of the fleet with that of
 * the requests.
 *
 * <p>
 * Invariant: each event is handled by the fleet logic before the request logic, so that
 * decisions on requests use the latest settings and the latest work permission. Not
 * thread-safe.
 */
public final class EntryLogic implements DecisionLogic {

	private final FleetLogic fleet;

	private final RequestLogic requests;

	private final IdempotencyKeyStore keys;

	private List<Decision> decisions = new ArrayList<>();

	/**
	 * Creates the logic of a starting process.
	 * @param self this process
	 * @param clock the clock
	 * @param random the source of random numbers
	 */
	public EntryLogic(ProcessIdentity self, Clock clock, RandomSource random) {
		DecisionSink sink = (decision) -> this.decisions.add(decision);
		this.keys = new KeyTable(self, clock);
		this.fleet = new FleetLogic(self, clock, random, this.keys, sink);
		this.requests = new RequestLogic(self, clock, random, this.fleet, this.keys, sink);
	}

	@Override
	public List<Decision> apply(Event event) {
		if (event instanceof Ticked) {
			this.fleet.setRunningRequests(this.requests.running());
		}
		this.fleet.apply(event);
		this.requests.apply(event);
		List<Decision> made = this.decisions;
		this.decisions = new ArrayList<>();
		return made;
	}

	@Override
	public Status status() {
		Settings settings = this.fleet.settings();
		long version = (settings != null) ? settings.version() : 0;
		return new Status(this.fleet.permission(), this.fleet.phase(), version, this.fleet.confirmedAgeMs(),
				this.fleet.members(), this.requests.servers(), this.fleet.suspects(), this.keys.size(),
				this.requests.running(), this.requests.queued());
	}

	/**
	 * Returns the counters of the input received from peers and the platform.
	 * @return the counters since the start of the process
	 */
	public FleetCounters fleetCounters() {
		return this.fleet.counters();
	}

}
