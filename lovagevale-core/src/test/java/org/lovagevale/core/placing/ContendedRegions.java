package org.lovagevale.core.placing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

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
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.RouteTable;
import org.lovagevale.core.catalog.ServiceSpec;
import org.lovagevale.core.catalog.ServingConfiguration;

/**
 * Simulates one service in several regions with requests of several kinds whose rates
 * change over time.
 *
 * <p>
 * Servers are slowed down as in {@link SimulatedRegion}. A server that runs as many
 * requests as it has slots and queues twice as many never responds to further ones. A
 * caller whose request is refused sends it once more after the time that it was told.
 */
final class ContendedRegions {

	static final int SLOTS = 3;

	private static final int QUEUE_CAPACITY = 6;

	private static final int STEP_MS = 5;

	private static final int CHECK_INTERVAL_MS = 200;

	private static final int ONE_WAY_MS = 30;

	private static final int NOISE_PERIOD_MS = 150;

	private static final double NOISE_PROBABILITY = 0.25;

	private static final double NOISE_FACTOR = 5;

	private static final double FULL_SERVER_FACTOR = 1.7;

	/**
	 * Time without a response after which a server counts as silent, as a multiple of the
	 * usual processing time.
	 */
	private static final int SILENCE_FACTOR = 4;

	private static final int MAX_RETURN_JITTER_MS = 20;

	private static final double MILLIS_PER_SECOND = 1_000;

	final ManualClock clock = new ManualClock(100_000, 1_000_000);

	private final Random random;

	private final List<SimulatedKind> kinds;

	private final RateFactor rates;

	private final Map<Region, Site> sites = new LinkedHashMap<>();

	private final Map<SlotId, Attempt> attempts = new HashMap<>();

	private final PriorityQueue<Later> later = new PriorityQueue<>(
			Comparator.comparingLong(Later::at).thenComparingLong(Later::number));

	private final Map<String, KindTotals> results = new LinkedHashMap<>();

	private long lastNumber;

	private long startedAt;

	private long measureFromMs;

	private long measureToMs = Long.MAX_VALUE;

	private boolean dividedServers = true;

	private boolean overflowing;

	private int unanswered;

	private int maxAtServer;

	/**
	 * Creates regions in which no requests have arrived yet.
	 * @param seed the seed of all random choices
	 * @param regions the regions
	 * @param serversPerRegion the number of servers in each region
	 * @param dispatchersPerRegion the number of dispatchers in each region; each request
	 * arrives at a random one
	 * @param kinds the kinds of requests
	 * @param rates the rates over time
	 */
	ContendedRegions(long seed, List<Region> regions, int serversPerRegion, int dispatchersPerRegion,
			List<SimulatedKind> kinds, RateFactor rates) {
		this.random = new Random(seed);
		this.kinds = kinds;
		this.rates = rates;
		kinds.forEach((kind) -> this.results.put(kind.route(), new KindTotals()));
		for (Region region : regions) {
			this.sites.put(region, new Site(region, serversPerRegion));
		}
		for (Site site : this.sites.values()) {
			for (int i = 0; i < dispatchersPerRegion; i++) {
				site.addDispatcher(seed + i, i, dispatchersPerRegion);
			}
		}
	}

	private Catalog catalog() {
		Map<String, BackendInstance> instances = new LinkedHashMap<>();
		for (Site site : this.sites.values()) {
			site.servers.values()
				.forEach((server) -> instances.put(server.id.value(),
						new BackendInstance(server.id, DispatcherFixture.SERVICE, "127.0.0.1", 80,
								new FailureDomain(site.region.value() + "-1"), site.region, SLOTS, false, 0, 1)));
		}
		Catalog catalog = new Catalog((
				item) -> item.key().equals("config")
						? new CatalogItem.PublishedConfiguration(new ServingConfiguration(1, RouteTable.of(List.of()),
								Map.of(DispatcherFixture.SERVICE,
										new ServiceSpec(DispatcherFixture.SERVICE, "/health", 260, 0, 4)),
								new RequestLimits(1, 1, 1, 1)))
						: new CatalogItem.ListedServer(instances.get(item.key()), 1));
		List<PublishedItem> items = new ArrayList<>();
		items.add(new PublishedItem("config", 1, ""));
		instances.keySet().forEach((id) -> items.add(new PublishedItem(id, 1, "")));
		catalog.replace(items, 1, 0);
		return catalog;
	}

	/**
	 * Counts only callers that arrive in a part of the simulated time.
	 * @param fromMs the begin of the part in milliseconds
	 * @param toMs the end of the part in milliseconds
	 * @return these regions
	 */
	ContendedRegions measure(long fromMs, long toMs) {
		this.measureFromMs = fromMs;
		this.measureToMs = toMs;
		return this;
	}

	/**
	 * Lets each dispatcher use all slots of each server, also if there are several.
	 * @return these regions
	 */
	ContendedRegions withUndividedServers() {
		this.dividedServers = false;
		return this;
	}

	/**
	 * Lets the regions report their capacity to each other and move requests.
	 * @return these regions
	 */
	ContendedRegions withOverflow() {
		this.overflowing = true;
		return this;
	}

	void simulate(int durationMs) {
		this.startedAt = this.clock.millis();
		int drainMs = 10_000;
		for (int elapsedMs = 0; elapsedMs < durationMs + drainMs; elapsedMs += STEP_MS) {
			if (elapsedMs < durationMs) {
				addArrivals(elapsedMs);
			}
			while (!this.later.isEmpty() && this.later.peek().at() <= this.clock.millis()) {
				this.later.remove().action().run();
			}
			for (Site site : this.sites.values()) {
				site.step(elapsedMs);
			}
			this.clock.advance(STEP_MS);
		}
	}

	private void addArrivals(int elapsedMs) {
		for (Region region : this.sites.keySet()) {
			for (SimulatedKind kind : this.kinds) {
				if (!kind.homeRegions().isEmpty() && !kind.homeRegions().contains(region)) {
					continue;
				}
				double rate = kind.requestsPerSecond() * this.rates.at(kind, region, elapsedMs);
				double expected = rate * STEP_MS / MILLIS_PER_SECOND;
				// Poisson distribution by exponential gaps.
				double gap = -Math.log(1 - this.random.nextDouble());
				while (gap < expected) {
					arrive(kind, region, elapsedMs);
					gap += -Math.log(1 - this.random.nextDouble());
				}
			}
		}
	}

	private void arrive(SimulatedKind kind, Region region, int elapsedMs) {
		boolean measured = elapsedMs >= this.measureFromMs && elapsedMs < this.measureToMs;
		Caller caller = new Caller(kind, this.sites.get(region), ++this.lastNumber, measured);
		if (measured) {
			result(kind).callers++;
		}
		caller.send();
	}

	private KindTotals result(SimulatedKind kind) {
		return this.results.get(kind.route());
	}

	private void schedule(long delayMs, Runnable action) {
		this.later.add(new Later(this.clock.millis() + delayMs, ++this.lastNumber, action));
	}

	KindTotals result(String route) {
		return this.results.get(route);
	}

	/**
	 * Returns the share of all callers that were answered within their target.
	 * @return the share
	 */
	double inTimeShare() {
		int callers = this.results.values().stream().mapToInt((result) -> result.callers).sum();
		return (double) this.results.values().stream().mapToInt((result) -> result.inTime).sum() / callers;
	}

	/**
	 * Returns the number of requests that a full server never responded to.
	 * @return the number
	 */
	int unanswered() {
		return this.unanswered;
	}

	int maxAtServer() {
		return this.maxAtServer;
	}

	void print(String title) {
		System.out.printf("%s inTime=%.3f unanswered=%d maxAtServer=%d%n", title, inTimeShare(), this.unanswered,
				this.maxAtServer);
		this.results.forEach((route, result) -> System.out.printf("  %-10s %s%n", route, result));
	}

	/**
	 * Tells how much the rate of a kind differs from the usual one.
	 */
	interface RateFactor {

		double at(SimulatedKind kind, Region region, int elapsedMs);

	}

	private record Later(long at, long number, Runnable action) {
	}

	/**
	 * A caller, which sends its request at most twice.
	 */
	private final class Caller {

		private final SimulatedKind kind;

		private final Site site;

		private final long fingerprint;

		private final boolean measured;

		private boolean hasReturned;

		private boolean ended;

		private Caller(SimulatedKind kind, Site site, long fingerprint, boolean measured) {
			this.kind = kind;
			this.site = site;
			this.fingerprint = fingerprint;
			this.measured = measured;
		}

		private void send() {
			Attempt attempt = new Attempt(this, ContendedRegions.this.clock.millis());
			attempt.requestSlot(this.site);
		}

		private void served(long tookMs) {
			if (this.ended) {
				return;
			}
			this.ended = true;
			if (this.measured) {
				KindTotals result = result(this.kind);
				result.served++;
				result.inTime += (tookMs <= this.kind.targetMs()) ? 1 : 0;
				result.returnedServed += this.hasReturned ? 1 : 0;
			}
		}

		private void refused(int retryAfterMs) {
			if (this.hasReturned || this.ended) {
				this.ended = true;
				return;
			}
			this.hasReturned = true;
			if (this.measured) {
				result(this.kind).refusedOnce++;
			}
			schedule(retryAfterMs + ContendedRegions.this.random.nextInt(MAX_RETURN_JITTER_MS), this::send);
		}

	}

	/**
	 * One request of a caller.
	 */
	private final class Attempt {

		private final Caller caller;

		private final long arrivedAt;

		private SlotId id;

		private SlotDispatcher dispatcher;

		private SimulatedServer server;

		private double workLeftMs;

		private long sentAt;

		private final Set<Region> tried = new LinkedHashSet<>();

		/** Whether the request is at another region than that of its caller. */
		private boolean relayed;

		private Attempt(Caller caller, long arrivedAt) {
			this.caller = caller;
			this.arrivedAt = arrivedAt;
			this.workLeftMs = caller.kind.workMs() * Math.exp(ContendedRegions.this.random.nextGaussian() * 0.3);
		}

		private void requestSlot(Site site) {
			long now = ContendedRegions.this.clock.millis();
			SimulatedKind kind = this.caller.kind;
			int index = ContendedRegions.this.random.nextInt(site.dispatchers.size());
			this.dispatcher = site.dispatchers.get(index);
			this.id = new SlotId(new VmName(site.region + "-" + index), ++ContendedRegions.this.lastNumber);
			ContendedRegions.this.attempts.put(this.id, this);
			int elapsedMs = (int) (now - this.arrivedAt);
			this.dispatcher.requestSlot(new SlotRequest(this.id, DispatcherFixture.SERVICE,
					new FailureDomain(site.region.value() + "-1"), kind.homeRegions(), true, kind.priority(), false,
					SendPurpose.FIRST, kind.workMs(), kind.targetMs() - elapsedMs, kind.timeoutMs() - elapsedMs,
					Set.of(), this.caller.fingerprint, kind.route(), kind.bodyBytes(), overflowRegions(site)));
		}

		private Set<Region> overflowRegions(Site site) {
			if (!ContendedRegions.this.overflowing || this.relayed || site != this.caller.site) {
				return Set.of();
			}
			Set<Region> regions = new LinkedHashSet<>(ContendedRegions.this.sites.keySet());
			regions.remove(site.region);
			regions.removeAll(this.tried);
			Set<Region> homes = this.caller.kind.homeRegions();
			if (!homes.isEmpty()) {
				regions.retainAll(homes);
			}
			return regions;
		}

		private void moved(Region region) {
			ContendedRegions.this.attempts.remove(this.id);
			this.tried.add(region);
			this.relayed = true;
			if (this.caller.measured) {
				result(this.caller.kind).relayed++;
			}
			schedule(ONE_WAY_MS, () -> requestSlot(ContendedRegions.this.sites.get(region)));
		}

		private void granted(SimulatedServer to) {
			this.server = to;
			this.sentAt = ContendedRegions.this.clock.millis();
			to.receive(this);
			schedule(Math.max(0, this.arrivedAt + this.caller.kind.timeoutMs() - this.sentAt), this::timedOut);
		}

		private void timedOut() {
			if (ContendedRegions.this.attempts.remove(this.id) == null) {
				return;
			}
			this.caller.ended = true;
			this.server.cancel(this);
			boolean silent = ContendedRegions.this.clock.millis() - this.sentAt >= (long) SILENCE_FACTOR
					* this.caller.kind.workMs();
			release(silent ? SlotOutcome.FAILED : SlotOutcome.ABANDONED);
		}

		private void completed() {
			ContendedRegions.this.attempts.remove(this.id);
			int wayBackMs = this.relayed ? ONE_WAY_MS : 0;
			this.caller.served(ContendedRegions.this.clock.millis() - this.arrivedAt + wayBackMs);
			release(SlotOutcome.SERVED);
		}

		private void release(SlotOutcome outcome) {
			ServerLoad load = (outcome == SlotOutcome.SERVED) ? this.server.load() : ServerLoad.UNKNOWN;
			this.dispatcher.release(new SlotRelease(this.id, this.server.id, outcome,
					(int) (ContendedRegions.this.clock.millis() - this.sentAt), this.caller.kind.workMs(), load,
					this.caller.fingerprint));
		}

		private void refused(RefusalCause cause, int retryAfterMs) {
			ContendedRegions.this.attempts.remove(this.id);
			if (cause == RefusalCause.TOO_LATE && this.caller.measured) {
				result(this.caller.kind).tooLate++;
			}
			if (this.relayed) {
				this.relayed = false;
				schedule(ONE_WAY_MS, () -> requestSlot(this.caller.site));
				return;
			}
			this.caller.refused(retryAfterMs);
		}

	}

	/**
	 * A region with its servers and dispatchers.
	 */
	private final class Site implements SlotReplies {

		private final Region region;

		private final Map<ServerName, SimulatedServer> servers = new LinkedHashMap<>();

		private final List<SlotDispatcher> dispatchers = new ArrayList<>();

		private final Set<ServerName> serversToCheck = new LinkedHashSet<>();

		private int reportedAtMs = -1_000;

		private Site(Region region, int count) {
			this.region = region;
			for (int i = 0; i < count; i++) {
				ServerName id = new ServerName(region.value() + "-s-" + i);
				this.servers.put(id, new SimulatedServer(id));
			}
		}

		private void addDispatcher(long seed, int index, int count) {
			boolean sole = count == 1;
			VmName self = new VmName(this.region + "-" + index);
			List<VmName> vms = IntStream.range(0, count).mapToObj((i) -> new VmName(this.region + "-" + i)).toList();
			ServerQuota quota = (server, slots) -> (ContendedRegions.this.dividedServers && !sole)
					? LoneShare.maxRequests(server, slots, self, vms) : slots;
			SlotDispatcher dispatcher = new SlotDispatcher(ContendedRegions.this.clock, new SeededRandom(seed),
					this.region, DispatcherFixture.LIMITS, (service) -> sole, quota,
					new ServerAnnouncements(ContendedRegions.this.clock), this);
			dispatcher.update(catalog());
			this.dispatchers.add(dispatcher);
		}

		private void step(int elapsedMs) {
			for (SimulatedServer server : this.servers.values()) {
				if ((elapsedMs + server.noisePhaseMs) % NOISE_PERIOD_MS == 0) {
					server.slowness = (ContendedRegions.this.random.nextDouble() < NOISE_PROBABILITY) ? NOISE_FACTOR
							: 1;
				}
				// Only the sole dispatcher of a service checks its servers.
				boolean checkDue = (elapsedMs + server.checkPhaseMs) % CHECK_INTERVAL_MS == 0;
				boolean requested = this.serversToCheck.remove(server.id);
				if (this.dispatchers.size() == 1 && (checkDue || requested)) {
					this.dispatchers.getFirst().recordHealthCheck(server.id, server.load(), 0);
				}
				server.advance();
			}
			if (ContendedRegions.this.overflowing && elapsedMs - this.reportedAtMs >= reportIntervalMs()) {
				this.reportedAtMs = elapsedMs;
				report();
			}
			if (elapsedMs % 20 == 0) {
				this.dispatchers.forEach(SlotDispatcher::tick);
			}
		}

		private int reportIntervalMs() {
			return this.dispatchers.getFirst().capacity(DispatcherFixture.SERVICE).isShort() ? 250 : 1_000;
		}

		private void report() {
			RegionCapacity capacity = this.dispatchers.getFirst().capacity(DispatcherFixture.SERVICE);
			for (Site other : ContendedRegions.this.sites.values()) {
				if (other != this) {
					schedule(ONE_WAY_MS, () -> other.dispatchers.getFirst()
						.recordRemoteCapacity(DispatcherFixture.SERVICE, this.region, capacity, 0));
				}
			}
		}

		@Override
		public void granted(SlotId id, ServerName server, String why) {
			ContendedRegions.this.attempts.get(id).granted(this.servers.get(server));
		}

		@Override
		public void queued(SlotId id) {
			// The dispatcher keeps the request until a slot is free.
		}

		@Override
		public void refused(SlotId id, RefusalCause cause, int retryAfterMs) {
			ContendedRegions.this.attempts.get(id).refused(cause, retryAfterMs);
		}

		@Override
		public void moved(SlotId id, Region region) {
			ContendedRegions.this.attempts.get(id).moved(region);
		}

		@Override
		public void loadWanted(ServerName server) {
			this.serversToCheck.add(server);
		}

	}

	/**
	 * A server that never responds to requests that it cannot queue.
	 */
	private final class SimulatedServer {

		private final ServerName id;

		private final List<Attempt> running = new ArrayList<>();

		private final ArrayDeque<Attempt> queue = new ArrayDeque<>();

		private final int noisePhaseMs = ContendedRegions.this.random.nextInt(NOISE_PERIOD_MS / STEP_MS) * STEP_MS;

		private final int checkPhaseMs = ContendedRegions.this.random.nextInt(CHECK_INTERVAL_MS / STEP_MS) * STEP_MS;

		private double slowness = 1;

		private SimulatedServer(ServerName id) {
			this.id = id;
		}

		private ServerLoad load() {
			return new ServerLoad(this.running.size(), this.queue.size(), SLOTS, (int) (this.slowness * 100));
		}

		private void receive(Attempt attempt) {
			if (this.running.size() < SLOTS) {
				start(attempt);
			}
			else if (this.queue.size() < QUEUE_CAPACITY) {
				this.queue.add(attempt);
			}
			else {
				ContendedRegions.this.unanswered++;
			}
			ContendedRegions.this.maxAtServer = Math.max(ContendedRegions.this.maxAtServer,
					this.running.size() + this.queue.size());
		}

		private void start(Attempt attempt) {
			this.running.add(attempt);
			attempt.workLeftMs *= this.slowness * ((this.running.size() >= SLOTS) ? FULL_SERVER_FACTOR : 1);
		}

		private void cancel(Attempt attempt) {
			this.queue.remove(attempt);
			if (attempt.caller.kind.repeatable() && this.running.remove(attempt)) {
				startNext();
			}
		}

		private void startNext() {
			if (!this.queue.isEmpty()) {
				start(this.queue.remove());
			}
		}

		private void advance() {
			for (Attempt attempt : List.copyOf(this.running)) {
				attempt.workLeftMs -= STEP_MS;
				if (attempt.workLeftMs <= 0) {
					this.running.remove(attempt);
					startNext();
					if (ContendedRegions.this.attempts.get(attempt.id) == attempt) {
						attempt.completed();
					}
				}
			}
		}

	}

}
