package org.lovagevale.core.placing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.lovagevale.base.ManualClock;
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
 * Simulates the servers of a region and the requests to them. Noisy neighbours, which are
 * other workloads on the machine of a server, slow it down at times.
 *
 * <p>
 * The processing time of a request is multiplied by a factor if the request starts while
 * a noisy neighbour is active, and by another one if it takes the last slot of its
 * server. Whether a neighbour is active is chosen at random every 150 ms. Requests are
 * placed by one dispatcher, or by one dispatcher per entry VM that knows only its own
 * requests. Refused requests are not retried, so the result is the share of first
 * attempts that were answered within the target latency.
 */
final class SimulatedRegion {

	private static final int STEP_MS = 5;

	private static final int NOISE_PERIOD_MS = 150;

	private static final double NOISE_PROBABILITY = 0.25;

	private static final double NOISE_FACTOR = 5;

	private static final double FULL_SERVER_FACTOR = 1.7;

	private static final int SLOTS = 3;

	private static final int QUEUE_CAPACITY = 6;

	private static final int TARGET_LATENCY_MS = 400;

	private static final int TIMEOUT_MS = 2_000;

	private static final double USUAL_WORK_MS = 160;

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final Random random;

	private final List<SimulatedServer> servers = new ArrayList<>();

	private final List<SlotDispatcher> dispatchers = new ArrayList<>();

	private final Map<SlotId, SimulatedRequest> requests = new HashMap<>();

	private final PriorityQueue<Long> arrivals = new PriorityQueue<>();

	private final int checkIntervalMs;

	private final Set<ServerName> serversToCheck = new LinkedHashSet<>();

	private boolean checksOnDemand;

	private int checks;

	private int offered;

	private int inTime;

	private int late;

	private int refused;

	/**
	 * Creates a region in which no requests have arrived yet.
	 * @param seed the seed of all random choices
	 * @param servers the number of servers
	 * @param dispatchers the number of dispatchers; each request arrives at a random one
	 * @param checkIntervalMs the interval of the health checks of each server in
	 * milliseconds, 0 for no periodic checks
	 */
	SimulatedRegion(long seed, int servers, int dispatchers, int checkIntervalMs) {
		this.random = new Random(seed);
		this.checkIntervalMs = checkIntervalMs;
		Map<ServerName, BackendInstance> instances = new HashMap<>();
		for (int i = 0; i < servers; i++) {
			ServerName id = new ServerName("s-" + i);
			this.servers.add(new SimulatedServer(id));
			instances.put(id, new BackendInstance(id, DispatcherFixture.SERVICE, "127.0.0.1", 80,
					DispatcherFixture.DOMAIN, DispatcherFixture.WEST, SLOTS, false, 0, 1));
		}
		Catalog catalog = createCatalog(instances);
		for (int i = 0; i < dispatchers; i++) {
			SlotDispatcher dispatcher = new SlotDispatcher(this.clock, new SeededRandom(seed + i),
					DispatcherFixture.WEST, DispatcherFixture.LIMITS, (service) -> true,
					new ServerAnnouncements(this.clock), new ReplyHandler());
			dispatcher.update(catalog);
			this.dispatchers.add(dispatcher);
		}
	}

	private static Catalog createCatalog(Map<ServerName, BackendInstance> instances) {
		Catalog catalog = new Catalog((item) -> item.key().equals("config")
				? new CatalogItem.PublishedConfiguration(new ServingConfiguration(1, RouteTable.of(List.of()),
						Map.of(DispatcherFixture.SERVICE,
								new ServiceSpec(DispatcherFixture.SERVICE, "/health", 260, 0, 4)),
						new RequestLimits(1, 1, 1, 1)))
				: new CatalogItem.ListedServer(instances.get(new ServerName(item.key())), 1));
		List<PublishedItem> items = new ArrayList<>();
		items.add(new PublishedItem("config", 1, ""));
		instances.keySet().forEach((id) -> items.add(new PublishedItem(id.value(), 1, "")));
		catalog.replace(items, 1, 0);
		return catalog;
	}

	/**
	 * Simulates requests with Poisson arrivals.
	 * @param requestsPerSecond the mean number of requests per second
	 * @param durationMs the duration in milliseconds
	 * @return the share of requests answered within the target latency
	 */
	double simulate(double requestsPerSecond, int durationMs) {
		double arrivalMs = 0;
		while (arrivalMs < durationMs) {
			arrivalMs += -Math.log(1 - this.random.nextDouble()) * 1_000 / requestsPerSecond;
			this.arrivals.add(this.clock.millis() + (long) arrivalMs);
		}
		for (int elapsedMs = 0; elapsedMs < durationMs + TIMEOUT_MS; elapsedMs += STEP_MS) {
			step(elapsedMs);
			this.clock.advance(STEP_MS);
		}
		return (double) this.inTime / this.offered;
	}

	/**
	 * Enables additional health checks of servers whose load a dispatcher requests.
	 * @return this region
	 */
	SimulatedRegion withChecksOnDemand() {
		this.checksOnDemand = true;
		return this;
	}

	double checksPerRequest() {
		return (double) this.checks / this.offered;
	}

	double refusedShare() {
		return (double) this.refused / this.offered;
	}

	double lateShare() {
		return (double) this.late / this.offered;
	}

	private void step(int elapsedMs) {
		long now = this.clock.millis();
		while (!this.arrivals.isEmpty() && this.arrivals.peek() <= now) {
			this.arrivals.remove();
			handleArrival(now);
		}
		for (SimulatedServer server : this.servers) {
			if ((elapsedMs + server.noisePhaseMs) % NOISE_PERIOD_MS == 0) {
				server.slowness = (this.random.nextDouble() < NOISE_PROBABILITY) ? NOISE_FACTOR : 1;
			}
			boolean checkDue = this.checkIntervalMs > 0
					&& (elapsedMs + server.checkPhaseMs) % this.checkIntervalMs == 0;
			if (checkDue || this.checksOnDemand && this.serversToCheck.remove(server.id)) {
				this.checks++;
				this.dispatchers.forEach((dispatcher) -> dispatcher.recordHealthCheck(server.id, server.load(), 0));
			}
			server.advance();
		}
		if (elapsedMs % 20 == 0) {
			this.dispatchers.forEach(SlotDispatcher::tick);
		}
	}

	private void handleArrival(long now) {
		this.offered++;
		int dispatcherIndex = this.random.nextInt(this.dispatchers.size());
		SlotId id = new SlotId(new VmName("vm-" + dispatcherIndex), this.offered);
		double workMs = USUAL_WORK_MS * Math.exp(this.random.nextGaussian() * 0.3);
		this.requests.put(id, new SimulatedRequest(id, now, workMs, this.dispatchers.get(dispatcherIndex)));
		this.dispatchers.get(dispatcherIndex)
			.requestSlot(new SlotRequest(id, DispatcherFixture.SERVICE, DispatcherFixture.DOMAIN, Set.of(), false, 1,
					false, SendPurpose.FIRST, (int) USUAL_WORK_MS, TARGET_LATENCY_MS, TIMEOUT_MS, Set.of(),
					this.offered));
	}

	private void complete(SimulatedRequest request, SimulatedServer server) {
		long responseTimeMs = this.clock.millis() - request.arrivedAt;
		this.requests.remove(request.id);
		if (responseTimeMs <= TARGET_LATENCY_MS) {
			this.inTime++;
		}
		else {
			this.late++;
		}
		request.dispatcher.release(new SlotRelease(request.id, server.id, SlotOutcome.SERVED,
				(int) (this.clock.millis() - request.sentAt), (int) USUAL_WORK_MS, server.load(), request.id.number()));
	}

	/**
	 * A request that has arrived and is neither answered nor refused yet.
	 */
	private static final class SimulatedRequest {

		private final SlotId id;

		private final long arrivedAt;

		private final SlotDispatcher dispatcher;

		private double workLeftMs;

		private long sentAt;

		private SimulatedRequest(SlotId id, long arrivedAt, double workLeftMs, SlotDispatcher dispatcher) {
			this.id = id;
			this.arrivedAt = arrivedAt;
			this.workLeftMs = workLeftMs;
			this.dispatcher = dispatcher;
		}

	}

	/**
	 * A server with a limited number of slots and a queue of limited length. It rejects
	 * requests when the queue is full.
	 */
	private final class SimulatedServer {

		private final ServerName id;

		private final List<SimulatedRequest> running = new ArrayList<>();

		private final ArrayDeque<SimulatedRequest> queue = new ArrayDeque<>();

		private final int noisePhaseMs = SimulatedRegion.this.random.nextInt(NOISE_PERIOD_MS / STEP_MS) * STEP_MS;

		private final int checkPhaseMs = SimulatedRegion.this.random
			.nextInt(1 + SimulatedRegion.this.checkIntervalMs / STEP_MS) * STEP_MS;

		private double slowness = 1;

		private SimulatedServer(ServerName id) {
			this.id = id;
		}

		private ServerLoad load() {
			return new ServerLoad(this.running.size(), this.queue.size(), SLOTS, (int) (this.slowness * 100));
		}

		private void advance() {
			for (SimulatedRequest request : List.copyOf(this.running)) {
				request.workLeftMs -= STEP_MS;
				if (request.workLeftMs <= 0) {
					this.running.remove(request);
					if (!this.queue.isEmpty()) {
						start(this.queue.remove());
					}
					complete(request, this);
				}
			}
		}

		private void start(SimulatedRequest request) {
			this.running.add(request);
			request.workLeftMs *= this.slowness * ((this.running.size() >= SLOTS) ? FULL_SERVER_FACTOR : 1);
		}

		private void receive(SimulatedRequest request) {
			request.sentAt = SimulatedRegion.this.clock.millis();
			if (this.running.size() < SLOTS) {
				start(request);
			}
			else if (this.queue.size() < QUEUE_CAPACITY) {
				this.queue.add(request);
			}
			else {
				SimulatedRegion.this.refused++;
				SimulatedRegion.this.requests.remove(request.id);
				request.dispatcher.release(new SlotRelease(request.id, this.id, SlotOutcome.NOT_EXECUTED, 1,
						(int) USUAL_WORK_MS, load(), request.id.number()));
			}
		}

	}

	/**
	 * Passes granted requests to their servers and counts refused requests.
	 */
	private final class ReplyHandler implements SlotReplies {

		@Override
		public void granted(SlotId id, ServerName server, String why) {
			for (SimulatedServer simulated : SimulatedRegion.this.servers) {
				if (simulated.id.equals(server)) {
					simulated.receive(SimulatedRegion.this.requests.get(id));
				}
			}
		}

		@Override
		public void queued(SlotId id) {
			// The dispatcher keeps the request until a slot is free.
		}

		@Override
		public void loadWanted(ServerName server) {
			SimulatedRegion.this.serversToCheck.add(server);
		}

		@Override
		public void refused(SlotId id, RefusalCause cause, int retryAfterMs) {
			SimulatedRegion.this.refused++;
			SimulatedRegion.this.requests.remove(id);
		}

	}

}
