package org.lovagevale.gateway;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import org.lovagevale.base.Clock;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.catalog.CatalogDecoder;
import org.lovagevale.core.limit.LimitPlan;
import org.lovagevale.core.memory.MemoryAccount;
import org.lovagevale.core.placing.HomeRegionChooser;
import org.lovagevale.core.placing.PlannedStop;
import org.lovagevale.core.placing.ServerAnnouncements;
import org.lovagevale.core.placing.SlotDispatcher;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;
import org.lovagevale.gateway.fleet.AccountLimitClient;
import org.lovagevale.gateway.fleet.CatalogUpdater;
import org.lovagevale.gateway.fleet.RegionLoadExchange;
import org.lovagevale.gateway.fleet.RegionPeers;
import org.lovagevale.gateway.fleet.RegionQuota;
import org.lovagevale.gateway.fleet.SlotClient;
import org.lovagevale.gateway.http.AccountLimits;
import org.lovagevale.gateway.http.BackendConnectionPool;
import org.lovagevale.gateway.http.ConnectionCounts;
import org.lovagevale.gateway.http.ExchangeServices;
import org.lovagevale.gateway.http.FrontendServer;
import org.lovagevale.gateway.http.HealthChecks;
import org.lovagevale.gateway.http.ReadDelay;
import org.lovagevale.gateway.http.RegionRelay;
import org.lovagevale.gateway.http.RequestRouter;
import org.lovagevale.gateway.http.TurnScheduler;
import org.lovagevale.gateway.http.WorkEstimates;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.resources.LoopResources;

/**
 * An entry process. Creates, starts and stops its components.
 *
 * <p>
 * Invariant: all components run on a single event loop. Thread-safe.
 */
public final class GatewayProcess {

	/**
	 * Interval of the periodic work, in milliseconds. All of it is done at the same time,
	 * since each time costs a wake-up.
	 */
	private static final long TICK_INTERVAL_MS = 100;

	/**
	 * Interval at which waiting slot requests are checked, in milliseconds. It is shorter
	 * than {@link #TICK_INTERVAL_MS} because requests of callers wait for the slots.
	 */
	private static final long SLOT_TICK_INTERVAL_MS = 20;

	/** Delay of the periodic work that is logged, in milliseconds. */
	private static final long REPORTED_DELAY_MS = 250;

	/**
	 * Time after the start at which a process that has found no peers begins to serve
	 * alone, in milliseconds.
	 */
	private static final long PEER_DISCOVERY_TIMEOUT_MS = 100;

	/**
	 * Share of the stop time for which new connections are still accepted. Within this
	 * time callers learn that the process is leaving.
	 */
	private static final double ACCEPTING_SHARE = 0.55;

	/** Ticks of the periodic work between the close of the port and the end of a stop. */
	private static final int CLOSING_TICKS = 2;

	/**
	 * Part at the end of the stop time that is left for the exit of the process, which
	 * would otherwise be killed, in milliseconds.
	 */
	private static final long STOP_MARGIN_MS = 700;

	/**
	 * Time at the end of a planned stop within which the event loop reports the open
	 * connections, in milliseconds.
	 */
	private static final long REPORT_TIMEOUT_MS = 100;

	/**
	 * Part of the memory for responses up to which responses that have arrived in part
	 * are kept. Callers that read slowly may fill all of it, and giving up the responses
	 * to others would free little.
	 */
	private static final long KEPT_RESPONSES_DIVISOR = 4;

	private static final Logger LOGGER = LoggerFactory.getLogger(GatewayProcess.class);

	private final Clock clock;

	private final EventLoop loop;

	private final Roster roster;

	private final RegionPeers peers;

	private final CatalogUpdater catalogUpdater;

	private final RegionLoadExchange regionLoads;

	private final SlotClient slotClient;

	private final AccountLimitClient limitClient;

	private final BackendConnectionPool connectionPool;

	private final RegionRelay relay;

	private final HealthChecks healthChecks;

	private final FrontendServer frontend;

	private final MemoryAccount memory;

	private final MemoryAccount responseMemory;

	private final PlannedStop plannedStop = new PlannedStop();

	private final GatewayMetrics metrics = new GatewayMetrics();

	// Separate tasks, so that the failure of one does not prevent the others.
	private final PeriodicTask peersTask = new PeriodicTask(this::tick);

	private final PeriodicTask serversTask;

	private final PeriodicTask callersTask;

	private final PeriodicTask delayTask = new PeriodicTask(this::recordDelay);

	private final long startedAt;

	/** Orders the opening of ports and the beginning of a planned stop. */
	private final Object portLock = new Object();

	private boolean peerPortOpen;

	private boolean callerPortOpen;

	private boolean stopping;

	private volatile GatewaySettings settings;

	private volatile boolean ready;

	private final ReadDelay readDelay;

	private boolean slotTickScheduled;

	/**
	 * Creates a process without opening any port.
	 * @param settings the settings
	 * @param clock the source of the current time
	 * @param random the source of random numbers
	 * @param loops provides the event loop
	 * @param source reads the published state from the platform
	 * @param decoder decodes published items
	 * @param protocol reads and writes the headers of requests and responses
	 * @param memoryLimits the limits on the bytes held for requests and responses
	 */
	public GatewayProcess(GatewaySettings settings, Clock clock, RandomSource random, LoopResources loops,
			CatalogSource source, CatalogDecoder decoder, ServerProtocol protocol, MemoryLimits memoryLimits) {
		this.settings = settings;
		this.clock = clock;
		this.memory = new MemoryAccount(clock, memoryLimits.requestBytes());
		this.responseMemory = new MemoryAccount(clock, memoryLimits.responseBytes(),
				memoryLimits.responseBytes() / KEPT_RESPONSES_DIVISOR);
		this.metrics.observe("requests", this.memory);
		this.metrics.observe("responses", this.responseMemory);
		this.startedAt = clock.millis();
		EventLoopGroup group = loops.onServer(true);
		this.loop = group.next();
		Incarnation incarnation = new Incarnation(clock.epochMillis(), (int) random.nextLong());
		this.roster = new Roster(clock,
				new RosterMember(RegionPeers.vmNameOf(settings.peerAddress().host()), settings.peerAddress().host(),
						settings.peerAddress().port(), settings.callerAddress().port(), settings.domain(),
						settings.region(), settings.capacity(), incarnation, 1, RosterPhase.STARTING));
		RemoteContacts contacts = new RemoteContacts(clock, this.roster.self().vm(), settings.region());
		this.peers = new RegionPeers(this.loop, loops, clock, this.roster, contacts, random, settings.seeds());
		this.catalogUpdater = new CatalogUpdater(this.loop, clock, this.roster, contacts, this.peers, source, decoder,
				this.metrics);
		ServerAnnouncements announcements = new ServerAnnouncements(clock);
		this.slotClient = new SlotClient(clock, this.roster, this.peers,
				(replies) -> new SlotDispatcher(clock, random, settings.region(), settings.limits(),
						this::isSoleDispatcher, new RegionQuota(clock, this.roster), announcements, replies));
		this.limitClient = new AccountLimitClient(clock, this.roster, contacts, this.peers, this.metrics,
				new LimitPlan(settings.accountPolicy(), Math.max(1, settings.limits().regions())), random,
				isOnlySeed(settings));
		TurnScheduler scheduler = new TurnScheduler(this.loop, clock);
		this.connectionPool = new BackendConnectionPool(this.loop, () -> loops.onChannel(SocketChannel.class, group),
				protocol, clock, this.metrics, announcements, this.responseMemory, scheduler,
				this.slotClient::reportLeaving);
		this.relay = new RegionRelay(clock, settings.region(), contacts, this.catalogUpdater,
				new HomeRegionChooser(random));
		this.readDelay = new ReadDelay(clock, TICK_INTERVAL_MS);
		ExchangeServices services = new ExchangeServices(this.loop, clock, settings, this.catalogUpdater,
				this.slotClient, this.relay, this.connectionPool, protocol, new WorkEstimates(), this.metrics,
				this.roster, this.plannedStop, announcements, this.readDelay, this.memory, this.responseMemory,
				scheduler);
		this.healthChecks = new HealthChecks(services, this.roster);
		this.slotClient.observeHedges(this.metrics);
		this.slotClient.onLoadWanted(this.healthChecks::refresh);
		this.frontend = new FrontendServer(this.loop, () -> loops.onChannel(ServerSocketChannel.class, group),
				new RequestRouter(services, random, new AccountLimits(this.limitClient, this.roster)),
				DescriptorLimits.forThisProcess().callerConnections());
		this.serversTask = new PeriodicTask(this.healthChecks::tick);
		this.callersTask = new PeriodicTask(this.frontend::tick);
		this.peers.setMessageHandlers(this.slotClient, this.catalogUpdater, this.limitClient);
		this.regionLoads = new RegionLoadExchange(clock, this.roster, contacts, this.peers,
				this.slotClient.dispatcher(), this.catalogUpdater, this.metrics);
		this.peers.onRegionLoad(this.regionLoads::handle);
		this.catalogUpdater.onChange(this::handleCatalogChange);
	}

	private static boolean isOnlySeed(GatewaySettings settings) {
		return settings.seeds().stream().allMatch(settings.peerAddress()::equals);
	}

	private boolean isSoleDispatcher(ServiceName service) {
		return this.roster.dispatcher(service).vm().equals(this.roster.self().vm()) && this.roster.isSettledMajority();
	}

	private void handleCatalogChange() {
		this.slotClient.dispatcher().update(this.catalogUpdater.catalog());
		this.limitClient.update(this.catalogUpdater.configuration());
		Set<ServerName> knownServers = new HashSet<>(this.catalogUpdater.serverNames());
		knownServers.addAll(this.relay.connectionNames());
		this.connectionPool.evictIdle(knownServers);
	}

	/**
	 * Opens all ports and starts the periodic work: the discovery of peers, reads of the
	 * platform and health checks. Does nothing once a planned stop has begun. May be
	 * called again after it failed; ports that are open stay open.
	 * @throws GatewayException if a port cannot be opened
	 */
	public void start() throws GatewayException {
		// The time since this object was created is no delay.
		this.loop.execute(this.readDelay::recordTick);
		// Requests may arrive as soon as the ports are open.
		this.slotClient.onWaiting(this::scheduleSlotTick);
		this.limitClient.onWaiting(this::scheduleSlotTick);
		synchronized (this.portLock) {
			if (this.stopping) {
				return;
			}
			openPorts();
		}
		this.loop.scheduleWithFixedDelay(new PeriodicTask(() -> {
			this.delayTask.run();
			this.peersTask.run();
			this.serversTask.run();
			this.callersTask.run();
		}), 0, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		LOGGER.info("{}",
				LogLine.event("process.started")
					.with("vm", this.settings.name())
					.with("domain", this.settings.domain())
					.with("region", this.settings.region())
					.with("callers", this.settings.callerAddress())
					.with("peers", this.settings.peerAddress())
					.with("seeds", this.settings.seeds())
					.with("secondSendShare", this.settings.limits().secondSendShare())
					.with("regionOverflow", this.settings.limits().regionOverflow())
					.with("transport", Epoll.isAvailable() ? "epoll" : "nio")
					.with("incarnation", this.roster.self().incarnation()));
	}

	private void openPorts() throws GatewayException {
		if (!this.peerPortOpen) {
			this.peers.listen(this.settings.peerAddress());
			this.peerPortOpen = true;
		}
		this.frontend.open(this.settings.callerAddress());
		this.callerPortOpen = true;
	}

	// A delay means that the event loop was blocked or the process did not run. What
	// arrived meanwhile was read late, and the timeouts were late as well.
	private void recordDelay() {
		long delayMs = this.readDelay.millis();
		this.readDelay.recordTick();
		this.metrics.recordLoopDelay(delayMs);
		if (delayMs >= REPORTED_DELAY_MS) {
			LOGGER.warn("{}",
					LogLine.event("loop.delayed")
						.with("delayMs", delayMs)
						.with("directBytes", GatewayMetrics.directMemoryBytes())
						.with("heapBytes", GatewayMetrics.heapBytes())
						.with("requestBytes", this.memory.heldBytes())
						.with("responseBytes", this.responseMemory.heldBytes()));
		}
	}

	private void tick() {
		this.peers.tick();
		this.catalogUpdater.tick();
		this.limitClient.tick();
		if (this.settings.limits().regionOverflow()) {
			this.regionLoads.tick();
		}
		if (!this.ready && this.roster.self().phase() == RosterPhase.STARTING && canServe()) {
			this.ready = true;
			this.roster.enterPhase(RosterPhase.SERVING);
			this.peers.sendHeartbeat();
			LOGGER.info("{}",
					LogLine.event("process.ready")
						.with("afterMs", this.clock.millis() - this.startedAt)
						.with("alive", this.roster.alive().size())
						.with("catalogAgeMs", this.catalogUpdater.ageMs()));
		}
	}

	private boolean canServe() {
		boolean peerDiscoveryEnded = this.roster.alive().size() > 1
				|| this.clock.millis() - this.startedAt >= PEER_DISCOVERY_TIMEOUT_MS;
		return this.catalogUpdater.configuration() != null && peerDiscoveryEnded;
	}

	// The slot tick is scheduled only while requests wait, so that it does not wake up an
	// idle process.
	private void scheduleSlotTick() {
		if (!this.slotTickScheduled) {
			this.slotTickScheduled = true;
			this.loop.schedule(new PeriodicTask(this::slotTick), SLOT_TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	private void slotTick() {
		this.slotTickScheduled = false;
		if (this.slotClient.hasPendingRequests()) {
			this.slotClient.tick();
		}
		if (this.slotClient.dispatcher().isTickNeeded()) {
			this.slotClient.dispatcher().tick();
		}
		if (this.limitClient.isWaiting()) {
			this.limitClient.tickWaiting();
		}
		if (this.slotClient.hasPendingRequests() || this.slotClient.dispatcher().isTickNeeded()
				|| this.limitClient.isWaiting()) {
			scheduleSlotTick();
		}
	}

	/**
	 * Returns whether this process is ready to serve callers.
	 * @return {@code true} from the end of the startup until a planned stop begins
	 */
	public boolean isReady() {
		return this.ready;
	}

	/**
	 * Returns a resolver of the addresses of the entry VMs in this region.
	 * @return the resolver; must be used on the event loop
	 */
	public AddressResolver addressResolver() {
		return new AddressResolver(this.roster);
	}

	/**
	 * Returns the account of the bytes held for requests.
	 * @return the account; must be used on the event loop
	 */
	public MemoryAccount memory() {
		return this.memory;
	}

	/**
	 * Returns the account of the bytes held for responses.
	 * @return the account; must be used on the event loop
	 */
	public MemoryAccount responseMemory() {
		return this.responseMemory;
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
	 * Returns the active settings.
	 * @return the active settings
	 */
	public GatewaySettings settings() {
		return this.settings;
	}

	/**
	 * Activates changed settings. Only the seeds, the stop time and the time to live of
	 * addresses take effect; the other settings require a restart.
	 * @param newSettings the new settings
	 */
	public void reload(GatewaySettings newSettings) {
		this.loop.execute(() -> {
			this.settings = newSettings;
			this.peers.setSeeds(newSettings.seeds());
			LOGGER.info("{}", LogLine.event("process.reloaded").with("seeds", newSettings.seeds()));
		});
	}

	/**
	 * Returns the maximum time that a planned stop takes, without the exit of the
	 * process.
	 * @return the time in milliseconds
	 */
	public long maxStopMs() {
		return Math.max(0, this.settings.stopMs() - STOP_MARGIN_MS);
	}

	/**
	 * Performs a planned stop: announces it to callers and peers, rejects the requests
	 * that cannot be completed, then blocks until all connections of callers are closed
	 * or the stop time is almost over. Returns at once if the process has not begun to
	 * accept connections, or if a planned stop has begun already.
	 */
	public void stop() {
		long stopMs = this.settings.stopMs();
		long timeMs = maxStopMs();
		synchronized (this.portLock) {
			boolean begun = this.stopping;
			this.stopping = true;
			if (begun || !this.callerPortOpen) {
				return;
			}
		}
		long stopStartedAt = this.clock.millis();
		this.ready = false;
		CountDownLatch stopped = new CountDownLatch(1);
		this.loop.execute(() -> leave(stopStartedAt, timeMs, acceptingMs(stopMs, timeMs), stopped));
		try {
			if (!stopped.await(timeMs, TimeUnit.MILLISECONDS)) {
				reportOpenConnections(stopStartedAt);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// With a short stop time, the handshakes and the last connections come first.
	private static long acceptingMs(long stopMs, long timeMs) {
		long lastMs = FrontendServer.CLOSE_MS + CLOSING_TICKS * TICK_INTERVAL_MS;
		return Math.max(0, Math.min((long) (stopMs * ACCEPTING_SHARE), timeMs - lastMs));
	}

	// Callers whose connections are still open get no response. An event loop that does
	// not run is one of the causes.
	private void reportOpenConnections(long stopStartedAt) throws InterruptedException {
		LogLine line = LogLine.event("process.stopped").with("afterMs", this.clock.millis() - stopStartedAt);
		try {
			ConnectionCounts counts = this.loop.submit(this.frontend::connectionCounts)
				.get(REPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
			line.with("connections", counts.open())
				.with("withRequest", counts.withRequest())
				.with("silent", counts.silent());
		}
		catch (TimeoutException | ExecutionException | RejectedExecutionException ex) {
			line.with("connections", "unknown").with("why", "the event loop does not run: " + ex);
		}
		LOGGER.warn("{}", line);
	}

	private void leave(long stopStartedAt, long timeMs, long acceptingMs, CountDownLatch stopped) {
		LOGGER.info("{}", LogLine.event("process.leaving").with("connections", this.frontend.connectionCount()));
		// The periodic work may have set it since the stop began.
		this.ready = false;
		this.roster.enterPhase(RosterPhase.LEAVING);
		this.peers.sendHeartbeat();
		this.plannedStop.begin(stopStartedAt, timeMs);
		// The event loop may have run this late.
		long acceptingLeftMs = Math.max(0, stopStartedAt + acceptingMs - this.clock.millis());
		this.loop.schedule(() -> {
			this.frontend.stopAccepting();
			this.frontend.closeIdle();
		}, acceptingLeftMs, TimeUnit.MILLISECONDS);
		this.loop.scheduleWithFixedDelay(new PeriodicTask(() -> {
			this.frontend.rejectUnfinishable();
			if (!this.frontend.isStopping()) {
				return;
			}
			this.frontend.closeIdle();
			if (!this.frontend.isAccepting() && this.frontend.connectionCount() == 0 && stopped.getCount() > 0) {
				LOGGER.info("{}",
						LogLine.event("process.stopped").with("afterMs", this.clock.millis() - stopStartedAt));
				stopped.countDown();
			}
		}), TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

}
