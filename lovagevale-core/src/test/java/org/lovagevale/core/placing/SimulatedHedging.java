package org.lovagevale.core.placing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
 * Simulates one dispatcher, an entry VM and the servers of a service whose machines have
 * slow periods, with the delays of their messages.
 *
 * <p>
 * Whether a machine is slow is chosen at random every 150 ms; work that starts in a slow
 * period takes 5 times as long, work on the last slot 1.7 times. Each message takes 1 ms.
 * A server is checked when its load is 200 ms old or when the dispatcher requests it, at
 * most once in 20 ms. Refused requests are not sent again.
 */
final class SimulatedHedging {

	static final int SERVERS = 12;

	static final int SLOTS = 3;

	static final int WORK_MS = 160;

	private static final int TARGET_MS = 400;

	private static final int TIMEOUT_MS = 2_000;

	private static final int MESSAGE_MS = 1;

	private static final int TICK_MS = 20;

	private static final int NOISE_PERIOD_MS = 150;

	private static final double NOISE_PROBABILITY = 0.25;

	private static final double NOISE_FACTOR = 5;

	private static final double LAST_SLOT_FACTOR = 1.7;

	private static final double LONG_WORK_FACTOR = 7;

	private static final int QUEUE_CAPACITY = 6;

	private static final int MAX_LOAD_AGE_MS = 200;

	private static final int MIN_CHECK_INTERVAL_MS = 20;

	private static final VmName VM = new VmName("vm-1");

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final Random random;

	private final double longWorkShare;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private final Map<ServerName, Server> servers = new LinkedHashMap<>();

	private final Map<SlotId, Request> requests = new HashMap<>();

	private final List<Long> responseTimesMs = new ArrayList<>();

	private final SlotDispatcher dispatcher;

	private long eventNumber;

	private int offered;

	private int inTime;

	private int refused;

	private int sent;

	private int hedged;

	private int won;

	private int checks;

	private final Map<HedgeRefusal, Integer> hedgeRefusals = new HashMap<>();

	/**
	 * Creates a service without requests.
	 * @param seed the seed of all random choices
	 * @param secondSendShare the permitted hedged requests per first attempt
	 * @param longWorkShare the share of the work that takes 7 times as long on any server
	 */
	SimulatedHedging(long seed, double secondSendShare, double longWorkShare) {
		this.random = new Random(seed);
		this.longWorkShare = longWorkShare;
		Map<ServerName, BackendInstance> instances = new LinkedHashMap<>();
		for (int i = 0; i < SERVERS; i++) {
			ServerName id = new ServerName("s-" + i);
			this.servers.put(id, new Server(id));
			instances.put(id, new BackendInstance(id, DispatcherFixture.SERVICE, "127.0.0.1", 80,
					DispatcherFixture.DOMAIN, DispatcherFixture.WEST, SLOTS, false, 0, 1));
		}
		this.dispatcher = new SlotDispatcher(this.clock, new SeededRandom(seed), DispatcherFixture.WEST,
				DispatcherFixture.LIMITS.withSecondSendShare(secondSendShare), (service) -> true,
				new ServerAnnouncements(this.clock), new EntryVm());
		this.dispatcher.update(catalog(instances));
	}

	private static Catalog catalog(Map<ServerName, BackendInstance> instances) {
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
	 * Simulates requests with Poisson arrivals until all have ended.
	 * @param capacityShare the requests as a share of those that the servers can run
	 * @param durationMs the time in which requests arrive, in milliseconds
	 * @return this simulation
	 */
	SimulatedHedging simulate(double capacityShare, int durationMs) {
		double perMs = capacityShare * SERVERS * SLOTS / WORK_MS;
		double arrivalMs = 0;
		while (arrivalMs < durationMs) {
			arrivalMs += -Math.log(1 - this.random.nextDouble()) / perMs;
			schedule((int) arrivalMs, this::handleArrival);
		}
		for (int at = 0; at < durationMs + TIMEOUT_MS; at += TICK_MS) {
			schedule(at, this::tick);
		}
		long endAt = this.clock.millis() + durationMs + TIMEOUT_MS;
		while (!this.events.isEmpty() && this.events.element().at() <= endAt) {
			Event next = this.events.remove();
			this.clock.advance(next.at() - this.clock.millis());
			next.action().run();
		}
		return this;
	}

	double inTimeShare() {
		return (double) this.inTime / this.offered;
	}

	double refusedShare() {
		return (double) this.refused / this.offered;
	}

	long percentileMs(double share) {
		List<Long> sorted = this.responseTimesMs.stream().sorted().toList();
		return sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * share));
	}

	int sent() {
		return this.sent;
	}

	int hedged() {
		return this.hedged;
	}

	int won() {
		return this.won;
	}

	double checksPerRequest() {
		return (double) this.checks / this.offered;
	}

	Map<HedgeRefusal, Integer> hedgeRefusals() {
		return this.hedgeRefusals;
	}

	private void schedule(int delayMs, Runnable action) {
		this.events.add(new Event(this.clock.millis() + delayMs, ++this.eventNumber, action));
	}

	private void tick() {
		if (this.dispatcher.isTickNeeded()) {
			this.dispatcher.tick();
		}
		for (Server server : this.servers.values()) {
			if (this.dispatcher.loadAgeMs(server.id) >= MAX_LOAD_AGE_MS) {
				server.check();
			}
		}
	}

	private void handleArrival() {
		this.offered++;
		double workMs = WORK_MS * Math.exp(this.random.nextGaussian() * 0.3)
				* ((this.random.nextDouble() < this.longWorkShare) ? LONG_WORK_FACTOR : 1);
		SlotId id = new SlotId(VM, this.offered);
		this.requests.put(id, new Request(id, workMs, this.clock.millis()));
		SlotRequest ask = new SlotRequest(id, DispatcherFixture.SERVICE, DispatcherFixture.DOMAIN, Set.of(), false, 1,
				false, SendPurpose.FIRST, WORK_MS, TARGET_MS, TIMEOUT_MS, Set.of(), this.offered)
			.withHedgeable(true);
		schedule(MESSAGE_MS, () -> this.dispatcher.requestSlot(ask));
	}

	private void release(Attempt attempt, SlotOutcome outcome, ServerLoad load) {
		int tookMs = (int) (this.clock.millis() - attempt.sentAt);
		schedule(MESSAGE_MS, () -> this.dispatcher.release(new SlotRelease(attempt.request.id, attempt.server.id,
				outcome, tookMs, WORK_MS, load, attempt.request.id.number())));
	}

	/**
	 * A step of the simulation.
	 *
	 * @param at the monotonic time in milliseconds
	 * @param number orders events of the same time
	 * @param action what happens
	 */
	private record Event(long at, long number, Runnable action) {
	}

	/**
	 * A request with its attempts.
	 */
	private static final class Request {

		private final SlotId id;

		private final double workMs;

		private final long arrivedAt;

		private final List<Attempt> attempts = new ArrayList<>();

		private boolean ended;

		private Request(SlotId id, double workMs, long arrivedAt) {
			this.id = id;
			this.workMs = workMs;
			this.arrivedAt = arrivedAt;
		}

	}

	/**
	 * One send of a request.
	 */
	private static final class Attempt {

		private final Request request;

		private final Server server;

		private final long sentAt;

		private boolean ended;

		private Attempt(Request request, Server server, long sentAt) {
			this.request = request;
			this.server = server;
			this.sentAt = sentAt;
		}

	}

	/**
	 * A server with slots and a queue.
	 */
	private final class Server {

		private final ServerName id;

		private final List<Attempt> running = new ArrayList<>();

		private final ArrayDeque<Attempt> queue = new ArrayDeque<>();

		private double slowness = 1;

		private long lastCheckedAt = Long.MIN_VALUE / 2;

		private Server(ServerName id) {
			this.id = id;
			schedule(SimulatedHedging.this.random.nextInt(NOISE_PERIOD_MS), this::changeSlowness);
		}

		private void changeSlowness() {
			this.slowness = (SimulatedHedging.this.random.nextDouble() < NOISE_PROBABILITY) ? NOISE_FACTOR : 1;
			schedule(NOISE_PERIOD_MS, this::changeSlowness);
		}

		private ServerLoad load() {
			return new ServerLoad(this.running.size(), this.queue.size(), SLOTS, (int) (this.slowness * 100));
		}

		private void check() {
			long now = SimulatedHedging.this.clock.millis();
			if (now - this.lastCheckedAt < MIN_CHECK_INTERVAL_MS) {
				return;
			}
			this.lastCheckedAt = now;
			SimulatedHedging.this.checks++;
			schedule(MESSAGE_MS, () -> {
				ServerLoad load = load();
				schedule(MESSAGE_MS, () -> SimulatedHedging.this.dispatcher.recordHealthCheck(this.id, load, 0));
			});
		}

		private void receive(Attempt attempt) {
			if (attempt.ended) {
				return;
			}
			if (this.running.size() < SLOTS) {
				start(attempt);
			}
			else if (this.queue.size() < QUEUE_CAPACITY) {
				this.queue.add(attempt);
			}
			else {
				throw new IllegalStateException("a server got more requests than it can queue");
			}
		}

		private void start(Attempt attempt) {
			this.running.add(attempt);
			double factor = this.slowness * ((this.running.size() >= SLOTS) ? LAST_SLOT_FACTOR : 1);
			schedule((int) Math.ceil(attempt.request.workMs * factor), () -> {
				if (this.running.remove(attempt)) {
					startNext();
					ServerLoad load = load();
					schedule(MESSAGE_MS, () -> respond(attempt, load));
				}
			});
		}

		private void startNext() {
			if (!this.queue.isEmpty()) {
				start(this.queue.remove());
			}
		}

		private void cancel(Attempt attempt) {
			if (this.running.remove(attempt)) {
				startNext();
			}
			this.queue.remove(attempt);
		}

		private void respond(Attempt attempt, ServerLoad load) {
			if (attempt.ended) {
				return;
			}
			attempt.ended = true;
			release(attempt, SlotOutcome.SERVED, load);
			Request request = attempt.request;
			request.ended = true;
			SimulatedHedging.this.requests.remove(request.id);
			long tookMs = SimulatedHedging.this.clock.millis() - request.arrivedAt;
			SimulatedHedging.this.responseTimesMs.add(tookMs);
			SimulatedHedging.this.inTime += (tookMs <= TARGET_MS) ? 1 : 0;
			SimulatedHedging.this.won += (request.attempts.indexOf(attempt) > 0) ? 1 : 0;
			for (Attempt loser : request.attempts) {
				if (!loser.ended) {
					loser.ended = true;
					schedule(MESSAGE_MS, () -> loser.server.cancel(loser));
					release(loser, SlotOutcome.ABANDONED, ServerLoad.UNKNOWN);
				}
			}
		}

	}

	/**
	 * Sends the requests to the servers whose slots are granted.
	 */
	private final class EntryVm implements SlotReplies {

		@Override
		public void granted(SlotId id, ServerName server, String why) {
			SimulatedHedging.this.sent++;
			schedule(MESSAGE_MS, () -> send(id, server));
		}

		private void send(SlotId id, ServerName name) {
			Request request = SimulatedHedging.this.requests.get(id);
			Server server = SimulatedHedging.this.servers.get(name);
			if (request == null) {
				Attempt unused = new Attempt(new Request(id, 0, 0), server, SimulatedHedging.this.clock.millis());
				release(unused, SlotOutcome.UNUSED, ServerLoad.UNKNOWN);
				return;
			}
			Attempt attempt = new Attempt(request, server, SimulatedHedging.this.clock.millis());
			request.attempts.add(attempt);
			SimulatedHedging.this.hedged += (request.attempts.size() > 1) ? 1 : 0;
			schedule(MESSAGE_MS, () -> server.receive(attempt));
		}

		@Override
		public void queued(SlotId id) {
			// The dispatcher keeps the request until a slot is free.
		}

		@Override
		public void refused(SlotId id, RefusalCause cause, int retryAfterMs) {
			SimulatedHedging.this.refused++;
			SimulatedHedging.this.requests.remove(id);
		}

		@Override
		public void loadWanted(ServerName server) {
			SimulatedHedging.this.servers.get(server).check();
		}

		@Override
		public void hedgeOffered(SlotRequest request, ServerName server, String why) {
			schedule(MESSAGE_MS, () -> send(request.id(), server));
		}

		@Override
		public void hedgeRefused(SlotRequest request, HedgeRefusal cause) {
			SimulatedHedging.this.hedgeRefusals.merge(cause, 1, Integer::sum);
		}

	}

}
