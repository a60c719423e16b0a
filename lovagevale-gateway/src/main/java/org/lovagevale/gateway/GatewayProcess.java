package org.lovagevale.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import org.lovagevale.base.Clock;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.catalog.CatalogDecoder;
import org.lovagevale.core.placing.HomeRegionChooser;
import org.lovagevale.core.placing.SlotDispatcher;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;
import org.lovagevale.gateway.fleet.CatalogKeeper;
import org.lovagevale.gateway.fleet.RegionPeers;
import org.lovagevale.gateway.fleet.SlotClient;
import org.lovagevale.gateway.http.BackendConnections;
import org.lovagevale.gateway.http.ExchangeServices;
import org.lovagevale.gateway.http.FrontendServer;
import org.lovagevale.gateway.http.HealthChecks;
import org.lovagevale.gateway.http.RegionRelay;
import org.lovagevale.gateway.http.RequestRouter;
import org.lovagevale.gateway.http.WorkEstimates;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.resources.LoopResources;

/**
 * One entry process, assembled from its parts.
 *
 * <p>
 * Invariant: all parts run on one event loop. Thread-safe.
 */
public final class GatewayProcess {

	/** The time between two looks at what is due, in milliseconds. */
	private static final long TICK_MS = 100;

	/** Questions and waiting requests are looked at more often, in milliseconds. */
	private static final long SLOT_TICK_MS = 20;

	/** Health checks are looked at this often, in milliseconds. */
	private static final long CHECK_TICK_MS = 100;

	/** A process that finds no peers serves alone after this time, in milliseconds. */
	private static final long LONELY_MS = 100;

	/** Callers learn of a planned stop within this share of its time. */
	private static final double LEAVE_SHARE = 0.55;

	/** The process ends this long before it would be killed, in milliseconds. */
	private static final long SPARE_MS = 700;

	private static final Logger LOGGER = LoggerFactory.getLogger(GatewayProcess.class);

	private final Clock clock;

	private final EventLoop loop;

	private final Roster roster;

	private final RegionPeers peers;

	private final CatalogKeeper catalog;

	private final SlotClient slots;

	private final BackendConnections connections;

	private final RegionRelay relay;

	private final HealthChecks checks;

	private final FrontendServer front;

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final long startedAt;

	private volatile GatewaySettings settings;

	private volatile boolean ready;

	private boolean slotTickDue;

	/**
	 * Assembles a process.
	 * @param settings its settings
	 * @param clock the clock
	 * @param random a source of random numbers
	 * @param loops gives the event loop
	 * @param source reads the platform
	 * @param decoder decodes what was read
	 * @param protocol reads and writes headers
	 */
	public GatewayProcess(GatewaySettings settings, Clock clock, RandomSource random, LoopResources loops,
			CatalogSource source, CatalogDecoder decoder, ServerProtocol protocol) {
		this.settings = settings;
		this.clock = clock;
		this.startedAt = clock.millis();
		EventLoopGroup group = loops.onServer(true);
		this.loop = group.next();
		Incarnation incarnation = new Incarnation(clock.epochMillis(), (int) random.nextLong());
		this.roster = new Roster(clock,
				new RosterMember(RegionPeers.nameOf(settings.peers().host()), settings.peers().host(),
						settings.peers().port(), settings.callers().port(), settings.domain(), settings.region(),
						settings.capacity(), incarnation, 1, RosterPhase.STARTING));
		RemoteContacts contacts = new RemoteContacts(clock, this.roster.self().vm(), settings.region());
		this.peers = new RegionPeers(this.loop, clock, this.roster, contacts, random, settings.seeds());
		this.catalog = new CatalogKeeper(this.loop, clock, this.roster, contacts, this.peers, source, decoder,
				this.metrics);
		this.slots = new SlotClient(clock, this.roster, this.peers, (replies) -> new SlotDispatcher(clock, random,
				settings.region(), settings.limits(), this::isSoleDispatcher, replies));
		this.connections = new BackendConnections(this.loop, () -> loops.onChannel(SocketChannel.class, group),
				protocol, clock, this.metrics);
		this.relay = new RegionRelay(clock, settings.region(), contacts, this.catalog, new HomeRegionChooser(random));
		ExchangeServices services = new ExchangeServices(this.loop, clock, settings, this.catalog, this.slots,
				this.relay, this.connections, protocol, new WorkEstimates(), this.metrics);
		this.checks = new HealthChecks(services, this.roster);
		this.slots.onLoadWanted(this.checks::refresh);
		this.front = new FrontendServer(this.loop, () -> loops.onChannel(ServerSocketChannel.class, group),
				new RequestRouter(services, random));
		this.peers.connect(this.slots, this.catalog);
		this.catalog.onChange(this::catalogChanged);
	}

	private boolean isSoleDispatcher(ServiceName service) {
		return this.roster.dispatcher(service).vm().equals(this.roster.self().vm()) && this.roster.isSettledMajority();
	}

	private void catalogChanged() {
		this.slots.dispatcher().update(this.catalog.catalog());
		Set<ServerName> kept = new HashSet<>(this.catalog.serverNames());
		kept.addAll(this.relay.connectionNames());
		this.connections.evictIdle(kept);
	}

	/**
	 * Opens all ports and begins to look for peers and for the platform.
	 * @throws GatewayException if a port cannot be opened
	 */
	public void start() throws GatewayException {
		this.peers.open(this.settings.peers());
		this.front.open(this.settings.callers());
		this.loop.scheduleWithFixedDelay(guarded(this::tick), 0, TICK_MS, TimeUnit.MILLISECONDS);
		this.slots.onWaiting(this::awaitSlots);
		this.loop.scheduleWithFixedDelay(guarded(this.checks::tick), CHECK_TICK_MS, CHECK_TICK_MS,
				TimeUnit.MILLISECONDS);
		LOGGER.info("{}",
				LogLine.event("process.started")
					.with("vm", this.settings.name())
					.with("domain", this.settings.domain())
					.with("region", this.settings.region())
					.with("callers", this.settings.callers())
					.with("peers", this.settings.peers())
					.with("seeds", this.settings.seeds())
					.with("incarnation", this.roster.self().incarnation()));
	}

	// A task that throws would not run again.
	private static Runnable guarded(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				LOGGER.error("event=task.failed", ex);
			}
		};
	}

	private void tick() {
		this.peers.tick();
		this.catalog.tick();
		if (!this.ready && this.roster.self().phase() == RosterPhase.STARTING && canServe()) {
			this.ready = true;
			this.roster.enterPhase(RosterPhase.SERVING);
			this.peers.beat();
			LOGGER.info("{}",
					LogLine.event("process.ready")
						.with("afterMs", this.clock.millis() - this.startedAt)
						.with("alive", this.roster.alive().size())
						.with("catalogAgeMs", this.catalog.ageMs()));
		}
	}

	private boolean canServe() {
		boolean settled = this.roster.alive().size() > 1 || this.clock.millis() - this.startedAt >= LONELY_MS;
		return this.catalog.configuration() != null && settled;
	}

	// An idle process is not woken for slots.
	private void awaitSlots() {
		if (!this.slotTickDue) {
			this.slotTickDue = true;
			this.loop.schedule(guarded(this::slotTick), SLOT_TICK_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void slotTick() {
		this.slotTickDue = false;
		if (this.slots.isWaiting()) {
			this.slots.tick();
		}
		if (this.slots.dispatcher().hasWaitingRequests()) {
			this.slots.dispatcher().tick();
		}
		if (this.slots.isWaiting() || this.slots.dispatcher().hasWaitingRequests()) {
			awaitSlots();
		}
	}

	/**
	 * Tells whether callers may be sent here.
	 * @return {@code true} if they may
	 */
	public boolean isReady() {
		return this.ready;
	}

	/**
	 * Returns the addresses for callers.
	 * @return the address book, to be used on the event loop
	 */
	public AddressBook addressBook() {
		return new AddressBook(this.roster);
	}

	/**
	 * Returns the event loop.
	 * @return the event loop
	 */
	public EventLoop loop() {
		return this.loop;
	}

	/**
	 * Returns the metrics.
	 * @return the metrics
	 */
	public GatewayMetrics metrics() {
		return this.metrics;
	}

	/**
	 * Returns the settings in force.
	 * @return the settings
	 */
	public GatewaySettings settings() {
		return this.settings;
	}

	/**
	 * Takes over changed settings; addresses stay as they are until the next start.
	 * @param next the settings
	 */
	public void reload(GatewaySettings next) {
		this.loop.execute(() -> {
			this.settings = next;
			this.peers.seeds(next.seeds());
			LOGGER.info("{}", LogLine.event("process.reloaded").with("seeds", next.seeds()));
		});
	}

	/**
	 * Stops as planned: tells callers and peers, completes what runs, and returns.
	 */
	public void stop() {
		long began = this.clock.millis();
		this.ready = false;
		CountDownLatch over = new CountDownLatch(1);
		this.loop.execute(() -> leave(began, over));
		try {
			if (!over.await(this.settings.stopMs() - SPARE_MS, TimeUnit.MILLISECONDS)) {
				LOGGER.warn("{}",
						LogLine.event("process.stopped")
							.with("afterMs", this.clock.millis() - began)
							.with("connections", this.front.connectionCount()));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void leave(long began, CountDownLatch over) {
		LOGGER.info("{}", LogLine.event("process.leaving").with("connections", this.front.connectionCount()));
		this.roster.enterPhase(RosterPhase.LEAVING);
		this.peers.beat();
		this.front.drain();
		long leaveMs = (long) (this.settings.stopMs() * LEAVE_SHARE);
		this.loop.schedule(() -> {
			this.front.stopAccepting();
			this.front.closeIdle();
		}, leaveMs, TimeUnit.MILLISECONDS);
		this.loop.scheduleWithFixedDelay(guarded(() -> {
			if (this.clock.millis() - began < leaveMs + TICK_MS) {
				return;
			}
			this.front.closeIdle();
			if (this.front.connectionCount() == 0 && over.getCount() > 0) {
				LOGGER.info("{}", LogLine.event("process.stopped").with("afterMs", this.clock.millis() - began));
				over.countDown();
			}
		}), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
	}

}
