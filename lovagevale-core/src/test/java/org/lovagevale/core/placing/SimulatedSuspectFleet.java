package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.CrashSuspectEntry;

/**
 * Entry VMs of several regions that exchange their crash suspects over a network that can
 * be cut between regions. The first running VM of each region is its dispatcher and hub.
 */
final class SimulatedSuspectFleet {

	static final long CRASHING_REQUEST = 42;

	private static final long TICK_MS = 100;

	private static final long DELAY_MS = 30;

	private static final long STEP_MS = 10;

	/** Time after which each change has reached all VMs, in milliseconds. */
	private static final long SETTLING_MS = 5_000;

	private static final long RUN_MS = 300;

	/** Time from the start of a VM until it is a dispatcher, in milliseconds. */
	private static final long JOINING_MS = 1_000;

	final Map<Region, List<Vm>> regions = new LinkedHashMap<>();

	final List<Long> crashedAt = new ArrayList<>();

	final Map<Region, List<Long>> sentAt = new HashMap<>();

	private final Set<Set<Region>> cuts = new HashSet<>();

	private final List<Message> messages = new ArrayList<>();

	private final List<RunningRequest> running = new ArrayList<>();

	private long now;

	private long lastNumber;

	SimulatedSuspectFleet(int regionCount, int vmsPerRegion) {
		for (int i = 0; i < regionCount; i++) {
			Region region = new Region("region-" + i);
			List<Vm> vms = new ArrayList<>();
			for (int j = 0; j < vmsPerRegion; j++) {
				vms.add(new Vm(region, "vm-" + i + "-" + j));
			}
			this.regions.put(region, vms);
			this.sentAt.put(region, new ArrayList<>());
		}
		run(2 * JOINING_MS);
	}

	Region region(int index) {
		return List.copyOf(this.regions.keySet()).get(index % this.regions.size());
	}

	List<Vm> vms() {
		return this.regions.values().stream().flatMap(List::stream).toList();
	}

	long now() {
		return this.now;
	}

	boolean isCut() {
		return !this.cuts.isEmpty();
	}

	// Messages on a connection that is cut are lost, and both sides notice.
	void cut(Region region) {
		for (Region other : this.regions.keySet()) {
			if (!other.equals(region)) {
				this.cuts.add(Set.of(region, other));
			}
		}
		this.messages.removeIf((message) -> isCut(message.from.region, message.to.region));
		for (Vm vm : vms()) {
			vms().stream()
				.filter((other) -> isCut(vm.region, other.region))
				.forEach((other) -> vm.reports.forget(other.name));
		}
	}

	void heal() {
		this.cuts.clear();
	}

	private boolean isCut(Region one, Region other) {
		return !one.equals(other) && this.cuts.contains(Set.of(one, other));
	}

	/**
	 * Sends a request to the dispatcher of a region, which passes it on to a server that
	 * ends while it runs there, or responds.
	 * @param region the region
	 * @param crashes whether the server ends
	 * @return whether the request was sent to a server
	 */
	boolean request(Region region, boolean crashes) {
		Vm dispatcher = dispatcher(region);
		if (dispatcher.suspects.quarantineLeftMs(CRASHING_REQUEST, true, this.now) > 0) {
			return false;
		}
		SlotId id = new SlotId(dispatcher.name, ++this.lastNumber);
		dispatcher.suspects.recordSend(CRASHING_REQUEST, id, this.now);
		this.sentAt.get(region).add(this.now);
		this.running.add(new RunningRequest(dispatcher, id, this.now + RUN_MS, crashes));
		return true;
	}

	private Vm dispatcher(Region region) {
		List<Vm> vms = this.regions.get(region);
		return vms.stream().filter((vm) -> this.now - vm.startedAt >= JOINING_MS).findFirst().orElse(vms.getFirst());
	}

	/**
	 * Restarts the dispatcher of a region. The requests that it has placed are lost with
	 * it, as far as it is concerned.
	 * @param region the region
	 */
	void restartDispatcher(Region region) {
		List<Vm> vms = this.regions.get(region);
		Vm old = dispatcher(region);
		Vm restarted = new Vm(region, old.name.value());
		vms.set(vms.indexOf(old), restarted);
		vms().forEach((vm) -> vm.reports.forget(old.name));
		this.messages.removeIf((message) -> message.from == old || message.to == old);
		this.running.removeIf((request) -> {
			if (request.dispatcher == old && request.crashes) {
				this.crashedAt.add(this.now);
			}
			return request.dispatcher == old;
		});
	}

	void run(long durationMs) {
		long begin = this.now;
		long end = begin + durationMs;
		while (this.now < end) {
			long step = Math.min(STEP_MS, end - this.now);
			boolean settled = this.messages.isEmpty() && this.running.isEmpty() && this.now - begin >= SETTLING_MS;
			if (settled && end - this.now > SETTLING_MS) {
				// Nothing changes any more.
				step = end - this.now - SETTLING_MS;
			}
			this.now += step;
			endRequests();
			deliver();
			for (Vm vm : vms()) {
				vm.tickIfDue();
			}
		}
	}

	private void endRequests() {
		for (RunningRequest request : List.copyOf(this.running)) {
			if (this.now >= request.endsAt) {
				this.running.remove(request);
				if (request.crashes) {
					this.crashedAt.add(this.now);
				}
				request.dispatcher.suspects.recordOutcome(CRASHING_REQUEST, request.id,
						request.crashes ? SlotOutcome.LOST : SlotOutcome.SERVED, this.now);
			}
		}
	}

	private void deliver() {
		for (Message message : List.copyOf(this.messages)) {
			if (this.now >= message.arrivesAt) {
				this.messages.remove(message);
				SuspectSource source = message.from.region.equals(message.to.region) ? SuspectSource.REGION
						: SuspectSource.OTHER_REGION;
				message.suspects.forEach((entry) -> message.to.suspects.merge(entry, source, this.now));
			}
		}
	}

	/**
	 * One entry VM.
	 */
	final class Vm {

		final Region region;

		final VmName name;

		final CrashSuspects suspects;

		private final SuspectReports reports;

		private final long startedAt = SimulatedSuspectFleet.this.now;

		private long tickedAt;

		private Vm(Region region, String name) {
			this.region = region;
			this.name = new VmName(name);
			this.suspects = new CrashSuspects(TrialOrder.among(region, this::reachableRegions), Set.of(),
					this.startedAt);
			this.reports = new SuspectReports(this.suspects);
		}

		private Set<Region> reachableRegions() {
			Set<Region> reachable = new HashSet<>(SimulatedSuspectFleet.this.regions.keySet());
			reachable.removeIf((other) -> other.equals(this.region) || isCut(other, this.region));
			return reachable;
		}

		private void tickIfDue() {
			if (SimulatedSuspectFleet.this.now - this.tickedAt < TICK_MS) {
				return;
			}
			this.tickedAt = SimulatedSuspectFleet.this.now;
			boolean isHub = dispatcher(this.region) == this;
			for (Vm other : SimulatedSuspectFleet.this.regions.get(this.region)) {
				if (other != this) {
					report(other, isHub);
				}
			}
			for (Region other : reachableRegions()) {
				report(SimulatedSuspectFleet.this.regions.get(other).getLast(), isHub);
			}
		}

		private void report(Vm to, boolean isHub) {
			List<CrashSuspectEntry> due = this.reports.takeDue(to.name, to.region.equals(this.region), isHub,
					this.tickedAt);
			if (!due.isEmpty()) {
				SimulatedSuspectFleet.this.messages.add(new Message(this, to, due, this.tickedAt + DELAY_MS));
			}
		}

	}

	/**
	 * A message under way.
	 *
	 * @param from the sender
	 * @param to the receiver
	 * @param suspects the content
	 * @param arrivesAt the time of arrival, in milliseconds
	 */
	private record Message(Vm from, Vm to, List<CrashSuspectEntry> suspects, long arrivesAt) {
	}

	/**
	 * A request at a server.
	 *
	 * @param dispatcher the VM that placed it
	 * @param id its slot request
	 * @param endsAt the time of its end, in milliseconds
	 * @param crashes whether the server ends then
	 */
	private record RunningRequest(Vm dispatcher, SlotId id, long endsAt, boolean crashes) {
	}

}
