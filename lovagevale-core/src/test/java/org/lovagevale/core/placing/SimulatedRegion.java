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
 * Simulates the servers of a region, which are slowed down by noisy neighbours, and the
 * requests to them.
 *
 * <p>
 * A request takes longer by a factor if it starts while a neighbour is busy, which
 * changes every 150 ms, or if it takes the last slot of its server. Requests are placed
 * by one dispatcher, or by one dispatcher per entry VM that knows only its own requests.
 * Refused requests are not retried, so the result is the share of first attempts that
 * were answered in time.
 */
final class SimulatedRegion {

	private static final int STEP_MS = 5;

	private static final int NOISE_PERIOD_MS = 150;

	private static final double NOISE_SHARE = 0.25;

	private static final double NOISE_FACTOR = 5;

	private static final double FULL_FACTOR = 1.7;

	private static final int SLOTS = 3;

	private static final int QUEUE_CAPACITY = 6;

	private static final int TARGET_MS = 400;

	private static final int TIMEOUT_MS = 2_000;

	private static final double WORK_MS = 160;

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final Random random;

	private final List<SimulatedServer> servers = new ArrayList<>();

	private final List<SlotDispatcher> dispatchers = new ArrayList<>();

	private final Map<SlotId, Job> jobs = new HashMap<>();

	private final PriorityQueue<Long> arrivals = new PriorityQueue<>();

	private final int checkIntervalMs;

	private final Set<ServerName> serversToCheck = new LinkedHashSet<>();

	private boolean onDemand;

	private int checks;

	private int offered;

	private int inTime;

	private int late;

	private int refused;

	SimulatedRegion(long seed, int servers, int dispatchers, int checkIntervalMs) {
		this.random = new Random(seed);
		this.checkIntervalMs = checkIntervalMs;
		Map<ServerName, BackendInstance> listed = new HashMap<>();
		for (int i = 0; i < servers; i++) {
			ServerName id = new ServerName("s-" + i);
			this.servers.add(new SimulatedServer(id));
			listed.put(id, new BackendInstance(id, Fixture.SERVICE, "127.0.0.1", 80, Fixture.DOMAIN, Fixture.WEST,
					SLOTS, false, 0, 1));
		}
		Catalog catalog = catalog(listed);
		for (int i = 0; i < dispatchers; i++) {
			SlotDispatcher dispatcher = new SlotDispatcher(this.clock, new SeededRandom(seed + i), Fixture.WEST,
					Fixture.LIMITS, (service) -> true, new Replies());
			dispatcher.update(catalog);
			this.dispatchers.add(dispatcher);
		}
	}

	private static Catalog catalog(Map<ServerName, BackendInstance> listed) {
		Catalog catalog = new Catalog((item) -> item.key().equals("config")
				? new CatalogItem.PublishedConfiguration(new ServingConfiguration(1, RouteTable.of(List.of()),
						Map.of(Fixture.SERVICE, new ServiceSpec(Fixture.SERVICE, "/health", 260, 0, 4)),
						new RequestLimits(1, 1, 1, 1)))
				: new CatalogItem.ListedServer(listed.get(new ServerName(item.key())), 1));
		List<PublishedItem> items = new ArrayList<>();
		items.add(new PublishedItem("config", 1, ""));
		listed.keySet().forEach((id) -> items.add(new PublishedItem(id.value(), 1, "")));
		catalog.replace(items, 1, 0);
		return catalog;
	}

	/**
	 * Simulates requests with Poisson arrivals.
	 * @param perSecond the mean number of requests per second
	 * @param millis the duration in milliseconds
	 * @return the share of requests answered within their target
	 */
	double simulate(double perSecond, int millis) {
		double at = 0;
		while (at < millis) {
			at += -Math.log(1 - this.random.nextDouble()) * 1_000 / perSecond;
			this.arrivals.add(this.clock.millis() + (long) at);
		}
		for (int ms = 0; ms < millis + TIMEOUT_MS; ms += STEP_MS) {
			step(ms);
			this.clock.advance(STEP_MS);
		}
		return (double) this.inTime / this.offered;
	}

	/**
	 * Enables health checks of servers whose load the dispatcher requests.
	 * @return this region
	 */
	SimulatedRegion withChecksOnDemand() {
		this.onDemand = true;
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

	private void step(int ms) {
		long now = this.clock.millis();
		while (!this.arrivals.isEmpty() && this.arrivals.peek() <= now) {
			this.arrivals.remove();
			arrive(now);
		}
		for (SimulatedServer server : this.servers) {
			if ((ms + server.noisePhaseMs) % NOISE_PERIOD_MS == 0) {
				server.slowness = (this.random.nextDouble() < NOISE_SHARE) ? NOISE_FACTOR : 1;
			}
			boolean due = this.checkIntervalMs > 0 && (ms + server.checkPhaseMs) % this.checkIntervalMs == 0;
			if (due || this.onDemand && this.serversToCheck.remove(server.id)) {
				this.checks++;
				this.dispatchers.forEach((dispatcher) -> dispatcher.recordHealthCheck(server.id, server.load(), 0));
			}
			server.advance();
		}
		if (ms % 20 == 0) {
			this.dispatchers.forEach(SlotDispatcher::tick);
		}
	}

	private void arrive(long now) {
		this.offered++;
		int vm = this.random.nextInt(this.dispatchers.size());
		SlotId id = new SlotId(new VmName("vm-" + vm), this.offered);
		double work = WORK_MS * Math.exp(this.random.nextGaussian() * 0.3);
		this.jobs.put(id, new Job(id, now, work, this.dispatchers.get(vm)));
		this.dispatchers.get(vm)
			.requestSlot(new SlotRequest(id, Fixture.SERVICE, Fixture.DOMAIN, Set.of(), false, 1, false,
					SendPurpose.FIRST, (int) WORK_MS, TARGET_MS, TIMEOUT_MS, Set.of(), this.offered));
	}

	private void complete(Job job, SimulatedServer server) {
		long took = this.clock.millis() - job.arrivedAt;
		this.jobs.remove(job.id);
		if (took <= TARGET_MS) {
			this.inTime++;
		}
		else {
			this.late++;
		}
		job.dispatcher.release(new SlotRelease(job.id, server.id, SlotOutcome.SERVED,
				(int) (this.clock.millis() - job.sentAt), (int) WORK_MS, server.load(), job.id.number()));
	}

	/**
	 * A simulated request.
	 */
	private static final class Job {

		private final SlotId id;

		private final long arrivedAt;

		private final SlotDispatcher dispatcher;

		private double workLeftMs;

		private long sentAt;

		private Job(SlotId id, long arrivedAt, double workLeft, SlotDispatcher dispatcher) {
			this.id = id;
			this.arrivedAt = arrivedAt;
			this.workLeftMs = workLeft;
			this.dispatcher = dispatcher;
		}

	}

	/**
	 * A simulated server.
	 */
	private final class SimulatedServer {

		private final ServerName id;

		private final List<Job> running = new ArrayList<>();

		private final ArrayDeque<Job> queue = new ArrayDeque<>();

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
			for (Job job : List.copyOf(this.running)) {
				job.workLeftMs -= STEP_MS;
				if (job.workLeftMs <= 0) {
					this.running.remove(job);
					if (!this.queue.isEmpty()) {
						run(this.queue.remove());
					}
					complete(job, this);
				}
			}
		}

		private void run(Job job) {
			this.running.add(job);
			job.workLeftMs *= this.slowness * ((this.running.size() >= SLOTS) ? FULL_FACTOR : 1);
		}

		private void accept(Job job) {
			job.sentAt = SimulatedRegion.this.clock.millis();
			if (this.running.size() < SLOTS) {
				run(job);
			}
			else if (this.queue.size() < QUEUE_CAPACITY) {
				this.queue.add(job);
			}
			else {
				SimulatedRegion.this.refused++;
				SimulatedRegion.this.jobs.remove(job.id);
				job.dispatcher.release(new SlotRelease(job.id, this.id, SlotOutcome.NOT_EXECUTED, 1, (int) WORK_MS,
						load(), job.id.number()));
			}
		}

	}

	/**
	 * Carries out the decisions of the dispatchers.
	 */
	private final class Replies implements SlotReplies {

		@Override
		public void granted(SlotId id, ServerName server, String why) {
			for (SimulatedServer simulated : SimulatedRegion.this.servers) {
				if (simulated.id.equals(server)) {
					simulated.accept(SimulatedRegion.this.jobs.get(id));
				}
			}
		}

		@Override
		public void queued(SlotId id) {
			// The dispatcher holds the request until a slot is free.
		}

		@Override
		public void loadWanted(ServerName server) {
			SimulatedRegion.this.serversToCheck.add(server);
		}

		@Override
		public void refused(SlotId id, RefusalCause cause, int retryAfterMs) {
			SimulatedRegion.this.refused++;
			SimulatedRegion.this.jobs.remove(id);
		}

	}

}
