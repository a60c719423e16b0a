package org.lovagevale.gateway.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.netty.channel.embedded.EmbeddedChannel;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.CatalogItem;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.message.CatalogNews;
import org.lovagevale.core.message.CatalogRequest;
import org.lovagevale.core.message.RegionMessage;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;
import org.lovagevale.gateway.CatalogState;
import org.lovagevale.gateway.GatewayMetrics;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Catalog updaters of several VMs in two regions with a simulated store and network.
 * Messages that meet a cut link are lost with their connection, or are held and arrive
 * when it is restored. A process that starts meanwhile has no connection that could hold
 * them.
 */
final class SimulatedCatalogFleet {

	static final long STEP_MS = 50;

	private static final long CONNECT_TIMEOUT_MS = 500;

	private static final long HEARTBEAT_INTERVAL_MS = 600;

	/** Age of a process from which it has connections that hold messages. */
	private static final long CONNECTED_MS = 5_000;

	private static final FailureDomain DOMAIN = new FailureDomain("d-1");

	private static final ServiceName SERVICE = new ServiceName("s");

	final ManualClock clock = new ManualClock(100_000, 1_000_000);

	final SimulatedStore store = new SimulatedStore(this.clock);

	final Map<VmName, Vm> vms = new TreeMap<>();

	/** Whether messages on a cut link are held in place of lost. */
	private final boolean holding;

	private int incarnations;

	SimulatedCatalogFleet(boolean holding, String... names) {
		this.holding = holding;
		for (String name : names) {
			String region = name.startsWith("e") ? "east" : "west";
			this.vms.put(new VmName(name), new Vm(new VmName(name), new Region(region)));
		}
	}

	static CatalogItem decode(PublishedItem item) {
		String[] words = item.value().split(" ");
		return new CatalogItem.ListedServer(new BackendInstance(new ServerName(item.key()), SERVICE, "127.0.0.1", 1,
				DOMAIN, new Region("west"), 3, false, 0, Long.parseLong(words[0])), Long.parseLong(words[1]));
	}

	Vm vm(String name) {
		return this.vms.get(new VmName(name));
	}

	List<Vm> vmsOf(String region) {
		return this.vms.values().stream().filter((vm) -> vm.region.value().equals(region)).toList();
	}

	void run(long durationMs) {
		run(durationMs, () -> {
		});
	}

	void run(long durationMs, Runnable check) {
		for (long passed = 0; passed < durationMs; passed += STEP_MS) {
			this.clock.advance(STEP_MS);
			this.store.step();
			this.vms.values().forEach(Vm::step);
			check.run();
		}
	}

	private boolean isConnected(Vm one, Vm other) {
		long now = this.clock.millis();
		boolean sameRegion = one.region.equals(other.region);
		return now >= Math.max(one.cutFromPeersUntil, other.cutFromPeersUntil)
				&& (sameRegion || now >= Math.max(one.cutFromRegionsUntil, other.cutFromRegionsUntil));
	}

	/** An entry VM. */
	final class Vm {

		final VmName name;

		final Region region;

		long cutFromStoreUntil;

		long cutFromPeersUntil;

		long cutFromRegionsUntil;

		/** When the process or its links were last impaired. */
		long impairedAt;

		CatalogUpdater updater;

		private final Deque<Message> inbox = new ArrayDeque<>();

		private final List<Read> reads = new ArrayList<>();

		private EmbeddedChannel channel;

		private Roster roster;

		private RemoteContacts contacts;

		private long beatAt;

		private long startedAt;

		private Vm(VmName name, Region region) {
			this.name = name;
			this.region = region;
			start();
		}

		private void start() {
			SimulatedCatalogFleet fleet = SimulatedCatalogFleet.this;
			this.impairedAt = fleet.clock.millis();
			this.startedAt = fleet.clock.millis();
			this.channel = new EmbeddedChannel();
			this.roster = new Roster(fleet.clock, new RosterMember(this.name, "127.0.0.1", 1, 2, DOMAIN, this.region,
					100, new Incarnation(fleet.clock.epochMillis(), ++fleet.incarnations), 1, RosterPhase.STARTING));
			this.contacts = new RemoteContacts(fleet.clock, this.name, this.region);
			this.updater = new CatalogUpdater(this.channel.eventLoop(), fleet.clock, this.roster, this.contacts,
					this::send, this::read, SimulatedCatalogFleet::decode, new GatewayMetrics());
			this.inbox.clear();
			this.reads.clear();
		}

		void restart() {
			start();
		}

		void cut(long durationMs) {
			long until = SimulatedCatalogFleet.this.clock.millis() + durationMs;
			this.cutFromStoreUntil = Math.max(this.cutFromStoreUntil, until);
			this.cutFromPeersUntil = Math.max(this.cutFromPeersUntil, until);
		}

		boolean lists(String server, long startedAt) {
			BackendInstance listed = this.updater.server(new ServerName(server));
			return listed != null && listed.startedAtEpochMs() == startedAt;
		}

		long calmForMs() {
			return SimulatedCatalogFleet.this.clock.millis() - this.impairedAt;
		}

		boolean isAlone() {
			return SimulatedCatalogFleet.this.clock.millis() < this.cutFromPeersUntil && !reachesStore();
		}

		private boolean isNew() {
			return SimulatedCatalogFleet.this.clock.millis() - this.startedAt < CONNECTED_MS;
		}

		private boolean reachesStore() {
			return SimulatedCatalogFleet.this.store.isUp()
					&& SimulatedCatalogFleet.this.clock.millis() >= this.cutFromStoreUntil;
		}

		private Mono<CatalogState> read(long silenceMs) {
			return Mono.create((sink) -> this.reads
				.add(new Read(sink, SimulatedCatalogFleet.this.clock.millis(), silenceMs, reachesStore())));
		}

		private void send(VmName to, RegionMessage message) {
			SimulatedCatalogFleet.this.vms.get(to).inbox.add(new Message(this, message));
		}

		private void step() {
			long now = SimulatedCatalogFleet.this.clock.millis();
			long cutUntil = Math.max(Math.max(this.cutFromStoreUntil, this.cutFromPeersUntil),
					this.cutFromRegionsUntil);
			if (now < cutUntil) {
				this.impairedAt = cutUntil;
			}
			completeReads(now);
			deliver();
			if (now - this.beatAt >= HEARTBEAT_INTERVAL_MS) {
				this.beatAt = now;
				beat();
			}
			if (this.updater.ageMs() != Long.MAX_VALUE && this.roster.self().phase() == RosterPhase.STARTING) {
				this.roster.enterPhase(RosterPhase.SERVING);
			}
			this.updater.tick();
		}

		private void beat() {
			RosterMember beat = this.roster.nextBeat();
			for (Vm other : SimulatedCatalogFleet.this.vms.values()) {
				if (other != this && isConnected(this, other)) {
					if (other.region.equals(this.region)) {
						other.roster.recordHeartbeat(beat);
						other.updater.recordDelay(this.name, this.beatAt);
					}
					else {
						other.contacts.update(beat);
					}
				}
			}
		}

		private void completeReads(long now) {
			for (Read read : List.copyOf(this.reads)) {
				if (read.reached && reachesStore()) {
					this.reads.remove(read);
					read.sink.success(SimulatedCatalogFleet.this.store.read());
				}
				else if (now - read.startedAt >= (read.reached ? read.silenceMs : CONNECT_TIMEOUT_MS)) {
					this.reads.remove(read);
					read.sink.error(new IllegalStateException("no response"));
				}
			}
			this.channel.runPendingTasks();
		}

		private void deliver() {
			for (Iterator<Message> waiting = List.copyOf(this.inbox).iterator(); waiting.hasNext();) {
				Message message = waiting.next();
				if (isConnected(this, message.from)) {
					this.inbox.remove(message);
					handle(message);
				}
				else if (!SimulatedCatalogFleet.this.holding || isNew() || message.from.isNew()) {
					this.inbox.remove(message);
					this.updater.handleConnectionLost(message.from.name);
				}
			}
		}

		private void handle(Message message) {
			switch (message.content) {
				case CatalogNews news -> this.updater.handleNews(message.from.name, news);
				case CatalogRequest request -> this.updater.handleRequest(message.from.name, request);
				default -> throw new IllegalStateException("unexpected message " + message.content);
			}
		}

		@Override
		public String toString() {
			return this.name.value();
		}

	}

	/**
	 * A message on its way.
	 *
	 * @param from the sender
	 * @param content the message
	 */
	private record Message(Vm from, RegionMessage content) {
	}

	/**
	 * A read in progress.
	 *
	 * @param sink receives the result
	 * @param startedAt when it was started
	 * @param silenceMs the time after which it fails without a response
	 * @param reached whether the request reached the store
	 */
	private record Read(MonoSink<CatalogState> sink, long startedAt, long silenceMs, boolean reached) {
	}

}
