package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.Catalog;
import org.lovagevale.core.catalog.CatalogItem;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.catalog.RequestKind;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.RouteTable;
import org.lovagevale.core.catalog.ServiceSpec;
import org.lovagevale.core.catalog.ServingConfiguration;
import org.lovagevale.core.roster.Roster;

/**
 * Simulates the requests for one service in three regions, each with servers that reject
 * or lose a share of them and with successive dispatchers.
 *
 * <p>
 * A request is placed in the region of its caller, or relayed if that region is not a
 * home region or has no capacity. An entry VM that a request was relayed to does not
 * relay it again. A dispatcher that was replaced goes on granting slots, without being
 * the sole owner; its successor is the sole owner once the roster is settled.
 */
final class SimulatedFleet {

	static final List<Region> REGIONS = List.of(new Region("west"), new Region("east"), new Region("south"));

	private static final int SERVERS_PER_REGION = 6;

	private static final int SLOTS = 20;

	private static final int WORK_MS = 40;

	private static final int TARGET_LATENCY_MS = 400;

	private static final int TIMEOUT_MS = 2_000;

	private static final int MAX_ATTEMPTS = 3;

	private static final int TICK_MS = 20;

	private final ManualClock clock = new ManualClock(100_000, 1_000_000);

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private final Map<Region, Dispatcher> owners = new HashMap<>();

	private final List<Dispatcher> dispatchers = new ArrayList<>();

	private final Map<ServerName, BackendInstance> servers = new LinkedHashMap<>();

	private final Map<Region, Double> rejectedShare = new HashMap<>();

	private final Map<Region, Double> lostShare = new HashMap<>();

	private final Map<SlotId, Exchange> asking = new HashMap<>();

	private final RepeatLedger ledger = new RepeatLedger(DispatcherFixture.LIMITS);

	private Set<Region> homeRegions = Set.of();

	private long lastNumber;

	private int served;

	SimulatedFleet(long seed) {
		this.random = new Random(seed);
		for (Region region : REGIONS) {
			for (int i = 0; i < SERVERS_PER_REGION; i++) {
				ServerName name = new ServerName(region.value() + "-" + i);
				this.servers.put(name, new BackendInstance(name, DispatcherFixture.SERVICE, "127.0.0.1", 80,
						new FailureDomain(region.value() + "-1"), region, SLOTS, false, 0, 1));
			}
			replaceDispatcher(region);
		}
	}

	/**
	 * Sets which requests the servers of a region do not serve.
	 * @param region the region
	 * @param rejected the share of requests that are rejected without being run
	 * @param lost the share of requests whose connection is lost
	 */
	void fail(Region region, double rejected, double lost) {
		this.rejectedShare.put(region, rejected);
		this.lostShare.put(region, lost);
	}

	void serveOnlyIn(Set<Region> regions) {
		this.homeRegions = regions;
	}

	/**
	 * Makes a new dispatcher the owner of the service in a region.
	 * @param region the region
	 */
	void replaceDispatcher(Region region) {
		Dispatcher next = new Dispatcher(region);
		this.owners.put(region, next);
		this.dispatchers.add(next);
		next.dispatcher.update(catalog());
	}

	private Catalog catalog() {
		Catalog catalog = new Catalog((item) -> item.key().equals("config")
				? new CatalogItem.PublishedConfiguration(new ServingConfiguration(1, RouteTable.of(List.of()),
						Map.of(DispatcherFixture.SERVICE,
								new ServiceSpec(DispatcherFixture.SERVICE, "/health", 260, 0, 4)),
						new RequestLimits(1, 1, 1, 1)))
				: new CatalogItem.ListedServer(this.servers.get(new ServerName(item.key())), 1));
		List<PublishedItem> items = new ArrayList<>();
		items.add(new PublishedItem("config", 1, ""));
		this.servers.keySet().forEach((name) -> items.add(new PublishedItem(name.value(), 1, "")));
		catalog.replace(items, 1, 0);
		return catalog;
	}

	/**
	 * Simulates callers of a region whose requests arrive at random times.
	 * @param region the region
	 * @param requestsPerSecond the mean number of requests per second
	 * @param durationMs the duration in milliseconds
	 */
	void addCallers(Region region, double requestsPerSecond, int durationMs) {
		double atMs = 0;
		while (true) {
			atMs += -Math.log(1 - this.random.nextDouble()) * 1_000 / requestsPerSecond;
			if (atMs >= durationMs) {
				return;
			}
			after((long) atMs, () -> receive(region));
		}
	}

	private void receive(Region region) {
		this.ledger.recordRequest(now());
		new Exchange(this.lastNumber++, region, null, now() + TIMEOUT_MS).place();
	}

	/**
	 * Schedules an action.
	 * @param delayMs the delay in milliseconds
	 * @param action the action
	 */
	void after(long delayMs, Runnable action) {
		this.events.add(new Event(now() + delayMs, this.lastNumber++, action));
	}

	RepeatLedger run(int durationMs) {
		long end = now() + durationMs;
		for (int elapsedMs = TICK_MS; elapsedMs < durationMs; elapsedMs += TICK_MS) {
			after(elapsedMs, () -> this.dispatchers.forEach((dispatcher) -> dispatcher.dispatcher.tick()));
		}
		while (!this.events.isEmpty() && this.events.element().at() < end) {
			Event event = this.events.remove();
			this.clock.advance(event.at() - now());
			event.action().run();
		}
		return this.ledger;
	}

	int served() {
		return this.served;
	}

	private long now() {
		return this.clock.millis();
	}

	/**
	 * An action at a point in simulated time.
	 *
	 * @param at the monotonic time in milliseconds
	 * @param number orders events of the same time
	 * @param action the action
	 */
	private record Event(long at, long number, Runnable action) {
	}

	/**
	 * A dispatcher and the exchanges that wait for its replies.
	 */
	private final class Dispatcher implements SlotReplies {

		private final SlotDispatcher dispatcher;

		private final long createdAt = now();

		private Dispatcher(Region region) {
			this.dispatcher = new SlotDispatcher(SimulatedFleet.this.clock, new SeededRandom(7), region,
					DispatcherFixture.LIMITS, (service) -> isSettledOwner(region),
					new ServerAnnouncements(SimulatedFleet.this.clock), this);
		}

		private boolean isSettledOwner(Region region) {
			return SimulatedFleet.this.owners.get(region) == this && now() - this.createdAt >= Roster.SETTLED_MS;
		}

		@Override
		public void granted(SlotId id, ServerName server, String why) {
			SimulatedFleet.this.asking.remove(id).granted(id, server);
		}

		@Override
		public void queued(SlotId id) {
			// The dispatcher keeps the request until a slot is free.
		}

		@Override
		public void refused(SlotId id, RefusalCause cause, int retryAfterMs) {
			SimulatedFleet.this.asking.remove(id).refused(cause);
		}

		@Override
		public void loadWanted(ServerName server) {
			// The service reports no load.
		}

	}

	/**
	 * A request in one region.
	 */
	private final class Exchange {

		private final long request;

		private final Region region;

		private final Exchange relaying;

		private final long timeoutAt;

		private final AttemptPolicy policy = new AttemptPolicy(RequestKind.IDEMPOTENT, MAX_ATTEMPTS);

		private final Set<ServerName> triedServers = new HashSet<>();

		private final Set<Region> triedRegions = new HashSet<>();

		private Dispatcher dispatcher;

		private Exchange(long request, Region region, Exchange relaying, long timeoutAt) {
			this.request = request;
			this.region = region;
			this.relaying = relaying;
			this.timeoutAt = timeoutAt;
			if (relaying != null) {
				this.policy.recordSendsByOthers(relaying.policy.totalSends());
			}
		}

		private boolean isAllowedIn(Region other) {
			return SimulatedFleet.this.homeRegions.isEmpty() || SimulatedFleet.this.homeRegions.contains(other);
		}

		private void place() {
			if (isAllowedIn(this.region) || !tryRelay()) {
				requestSlot();
			}
		}

		private boolean tryRelay() {
			if (this.relaying != null) {
				return false;
			}
			List<Region> candidates = REGIONS.stream()
				.filter((other) -> !other.equals(this.region) && isAllowedIn(other)
						&& !this.triedRegions.contains(other))
				.toList();
			if (candidates.isEmpty()) {
				return false;
			}
			Region chosen = candidates.get(SimulatedFleet.this.random.nextInt(candidates.size()));
			this.triedRegions.add(chosen);
			new Exchange(this.request, chosen, this, this.timeoutAt).place();
			return true;
		}

		private void requestSlot() {
			SlotId id = new SlotId(new VmName(this.region.value()), SimulatedFleet.this.lastNumber++);
			this.dispatcher = SimulatedFleet.this.owners.get(this.region);
			SimulatedFleet.this.asking.put(id, this);
			this.dispatcher.dispatcher.requestSlot(
					new SlotRequest(id, DispatcherFixture.SERVICE, new FailureDomain(this.region.value() + "-1"),
							SimulatedFleet.this.homeRegions, true, 1, false, this.policy.nextPurpose(), WORK_MS,
							TARGET_LATENCY_MS, (int) (this.timeoutAt - now()), this.triedServers, this.request));
		}

		private void granted(SlotId id, ServerName server) {
			this.policy.recordSend();
			this.triedServers.add(server);
			SimulatedFleet.this.ledger.recordArrival(this.request, now());
			SlotOutcome outcome = outcome();
			after((outcome == SlotOutcome.NOT_EXECUTED) ? 1 : WORK_MS, () -> ended(id, server, outcome));
		}

		private SlotOutcome outcome() {
			double at = SimulatedFleet.this.random.nextDouble();
			double rejected = SimulatedFleet.this.rejectedShare.getOrDefault(this.region, 0.0);
			double lost = SimulatedFleet.this.lostShare.getOrDefault(this.region, 0.0);
			if (at < rejected) {
				return SlotOutcome.NOT_EXECUTED;
			}
			return (at < rejected + lost) ? SlotOutcome.LOST : SlotOutcome.SERVED;
		}

		private void ended(SlotId id, ServerName server, SlotOutcome outcome) {
			this.dispatcher.dispatcher
				.release(new SlotRelease(id, server, outcome, WORK_MS, WORK_MS, ServerLoad.UNKNOWN, this.request));
			if (outcome == SlotOutcome.SERVED) {
				SimulatedFleet.this.served++;
				return;
			}
			switch (this.policy.nextStep(outcome, true, this.timeoutAt - now())) {
				case SEND_AGAIN -> place();
				case ANSWER_NOT_RUN -> rejected();
				case ANSWER_FAILED -> {
				}
			}
		}

		private void refused(RefusalCause cause) {
			boolean noCapacity = cause == RefusalCause.NO_SERVER || cause == RefusalCause.OVERLOAD;
			boolean relayed = noCapacity && this.policy.sends() == 0 && isAllowedIn(this.region) && tryRelay();
			if (!relayed && !this.policy.mayHaveRun()) {
				rejected();
			}
		}

		private void rejected() {
			if (this.relaying != null) {
				this.relaying.policy.recordSendsByOthers(this.policy.sends());
				this.relaying.tryRelay();
			}
		}

	}

}
