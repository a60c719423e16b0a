package org.lovagevale.node;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.VmName;
import org.lovagevale.core.AuditEntry;
import org.lovagevale.core.EntryLogic;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.Status;
import org.lovagevale.core.decision.ApplySettings;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Exit;
import org.lovagevale.core.decision.KeepLinks;
import org.lovagevale.core.decision.Probe;
import org.lovagevale.core.decision.ReadSettings;
import org.lovagevale.core.decision.ReadVmList;
import org.lovagevale.core.decision.RecordAudit;
import org.lovagevale.core.decision.SendToPeer;
import org.lovagevale.core.decision.StopAccepting;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.PeerMessageReceived;
import org.lovagevale.core.event.StopRequested;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.event.VmListReceived;
import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.core.message.SettingsBody;
import org.lovagevale.node.admin.AdminServer;
import org.lovagevale.node.admin.AdminSource;
import org.lovagevale.node.audit.AuditTrail;
import org.lovagevale.node.audit.AuditView;
import org.lovagevale.node.audit.RecordedStep;
import org.lovagevale.node.audit.RequestTrail;
import org.lovagevale.node.http.BackendHttpClients;
import org.lovagevale.node.http.BackendProber;
import org.lovagevale.node.http.CallerServer;
import org.lovagevale.node.http.EntryExchangeContext;
import org.lovagevale.node.http.HttpServerException;
import org.lovagevale.node.metrics.NodeMetrics;
import org.lovagevale.node.wiring.Engine;
import org.lovagevale.node.wiring.SettingsLoader;
import org.lovagevale.peer.PeerException;
import org.lovagevale.peer.PeerTransport;
import org.lovagevale.platform.PlatformClient;
import org.lovagevale.settings.JsonSettingsReader;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.http.HttpResources;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpResources;

/**
 * An entry process.
 *
 * <p>
 * Its ports come from the settings: the peer and admin ports are opened with the first
 * settings, the caller port once new work may start. A change of the address of this VM
 * in later settings takes effect only after a restart. Thread-safe.
 */
public final class EntryProcess implements AdminSource {

	private static final Logger LOG = LoggerFactory.getLogger(EntryProcess.class);

	/**
	 * The tick interval. Shorter ticks would cost more than the entire control budget of
	 * an idle process.
	 */
	private static final long TICK_MS = 50;

	/**
	 * Number of ticks per status check. The status is not checked on every tick, since a
	 * check copies the tables of the decision logic.
	 */
	private static final int TICKS_PER_STATUS_CHECK = 4;

	private static final int MAX_AUDIT_ENTRIES = 4_096;

	private static final int MAX_RECORDED_REQUESTS = 10_000;

	/** Longest wait for open connections of callers at the end of a planned stop. */
	private static final long MAX_DRAIN_MS = 5_000;

	/** Time for sending the last messages to peers before shutdown. */
	private static final long PEER_FLUSH_MS = 200;

	// The low bits of a request identifier count requests; the high bits hold the salt,
	// which distinguishes VMs.
	private static final int REQUEST_COUNTER_BITS = 32;

	private final ScheduledExecutorService ticker = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "ticker"));

	private final ScheduledExecutorService controlExecutor = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "control"));

	private final CountDownLatch terminated = new CountDownLatch(1);

	private final NodeMetrics metrics = new NodeMetrics();

	private final ProcessIdentity self;

	private final AuditTrail auditTrail;

	private final RequestTrail requestTrail;

	private final LoopResources loops;

	private final Engine engine;

	private final PlatformClient platform;

	private final SettingsLoader settingsLoader;

	private final PeerTransport peerTransport;

	private final BackendHttpClients backendClients;

	private final BackendProber prober;

	private final CallerServer callerServer;

	private final AdminServer adminServer;

	private volatile @Nullable Settings settings;

	private volatile @Nullable EntryVm boundVm;

	private volatile boolean leaving;

	private volatile boolean serving;

	private volatile int exitCode;

	private int ticks;

	/**
	 * Creates a process that is not started yet.
	 * @param self the identity of the process
	 * @param platform the address of the platform
	 * @param threads the number of event loop threads, positive
	 * @param clock the clock
	 * @param random the source of random numbers
	 */
	public EntryProcess(ProcessIdentity self, URI platform, int threads, Clock clock, RandomSource random) {
		this.self = self;
		this.loops = LoopResources.create("http", threads, true);
		// The platform client uses the global resources of Reactor Netty.
		TcpResources.set(this.loops);
		HttpResources.set(this.loops);
		this.auditTrail = new AuditTrail(MAX_AUDIT_ENTRIES, clock.epochMillis());
		this.requestTrail = new RequestTrail(MAX_RECORDED_REQUESTS, clock);
		this.engine = new Engine(new EntryLogic(self, clock, random), this::observe, this::execute);
		this.platform = new PlatformClient(platform);
		this.settingsLoader = new SettingsLoader(new JsonSettingsReader(), this.platform, this.controlExecutor, clock,
				this.engine::apply, this.auditTrail::add);
		this.peerTransport = new PeerTransport(self, this::deployment, this::peerAddress, this::handlePeerEvent,
				this.loops);
		this.backendClients = new BackendHttpClients(this.loops);
		this.prober = new BackendProber(this.backendClients);
		EntryExchangeContext context = new EntryExchangeContext(self.vm(), clock, this.engine, this.backendClients,
				this.metrics, () -> this.leaving);
		long requestIdBase = (long) (self.incarnation().salt() & Integer.MAX_VALUE) << REQUEST_COUNTER_BITS;
		this.callerServer = new CallerServer(context, this.loops, requestIdBase);
		this.adminServer = new AdminServer(this, this.loops);
		registerMetrics();
	}

	/**
	 * Starts the process.
	 */
	public void start() {
		LOG.info("{}",
				LogLine.event("process.started")
					.with("vm", this.self.vm())
					.with("incarnation", this.self.incarnation()));
		this.ticker.scheduleAtFixedRate(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Requests a planned stop: the process ends once its callers have moved to other VMs.
	 */
	public void stop() {
		LOG.info("{}", LogLine.event("process.stop-requested"));
		this.leaving = true;
		this.engine.apply(new StopRequested());
	}

	/**
	 * Waits until the process has terminated.
	 * @return the exit code
	 * @throws InterruptedException if the thread is interrupted
	 */
	public int await() throws InterruptedException {
		this.terminated.await();
		return this.exitCode;
	}

	@Override
	public ProcessIdentity self() {
		return this.self;
	}

	@Override
	public Status status() {
		return this.engine.status();
	}

	@Override
	public boolean isReady() {
		Status status = this.engine.status();
		return this.serving && status.permission() == WorkPermission.OPEN && status.phase() == MemberPhase.LIVE;
	}

	@Override
	public AuditView audit() {
		return this.auditTrail.view();
	}

	@Override
	public Optional<List<RecordedStep>> explain(RequestId id) {
		return this.requestTrail.find(id);
	}

	@Override
	public Optional<String> settingsContent() {
		Settings current = this.settings;
		return (current != null) ? this.settingsLoader.content(current.version()) : Optional.empty();
	}

	@Override
	public String metrics() {
		return this.metrics.scrape();
	}

	private void registerMetrics() {
		this.metrics.registerGauge("lovagevale.in.flight", this.engine, Engine::openRequestCount);
		this.metrics.registerCounter("lovagevale.platform.reads", this.settingsLoader, SettingsLoader::reads);
		this.metrics.registerCounter("lovagevale.platform.read.failures", this.settingsLoader,
				SettingsLoader::readFailures);
		this.metrics.registerCounter("lovagevale.settings.rejections", this.settingsLoader, SettingsLoader::rejections);
		this.metrics.registerGauge("lovagevale.peer.links", this.peerTransport, (peers) -> peers.counters().links());
		this.metrics.registerCounter("lovagevale.peer.messages.sent", this.peerTransport,
				(p) -> p.counters().messagesSent());
		this.metrics.registerCounter("lovagevale.peer.messages.received", this.peerTransport,
				(p) -> p.counters().messagesReceived());
		this.metrics.registerCounter("lovagevale.peer.bytes.sent", this.peerTransport, (p) -> p.counters().bytesSent());
		this.metrics.registerCounter("lovagevale.peer.bytes.received", this.peerTransport,
				(p) -> p.counters().bytesReceived());
		this.metrics.registerCounter("lovagevale.peer.messages.dropped", this.peerTransport,
				(p) -> p.counters().dropped());
		this.metrics.registerCounter("lovagevale.peer.messages.rejected", this.peerTransport,
				(p) -> p.counters().rejected());
	}

	private void observe(Decision decision) {
		this.metrics.countDecision(decision);
		this.requestTrail.record(decision);
	}

	private void execute(Decision decision) {
		switch (decision) {
			case SendToPeer d -> this.peerTransport.send(d.to(), d.message());
			case KeepLinks d -> this.peerTransport.keepLinks(d.peers());
			case ReadSettings d -> this.settingsLoader.read(d);
			case ReadVmList d -> readVmList();
			case ApplySettings d -> this.controlExecutor.execute(() -> applySettings(d.settings()));
			case Probe d -> this.prober.probe(d, this.engine);
			case RecordAudit d -> recordAudit(d.entry());
			case StopAccepting d -> this.controlExecutor.execute(this::stopAccepting);
			case Exit d -> this.controlExecutor.execute(this::shutDown);
			default ->
				LOG.debug("{}", LogLine.event("decision.late").with("decision", decision.getClass().getSimpleName()));
		}
	}

	private void recordAudit(AuditEntry entry) {
		this.auditTrail.add(entry);
		LOG.info("{}", LogLine.event(entry.event()).withAll(entry.fields()));
	}

	private void readVmList() {
		this.platform.readVmList()
			.subscribe((list) -> this.engine.apply(new VmListReceived(list.leaving(), list.live())), (error) -> LOG
				.debug("{}", LogLine.event("vm-list.unavailable").with("reason", String.valueOf(error.getMessage()))));
	}

	private void handlePeerEvent(Event event) {
		this.engine.apply(event);
		if (event instanceof PeerMessageReceived received && received.message() instanceof SettingsBody body) {
			this.settingsLoader.receive(body);
		}
	}

	private String deployment() {
		Settings current = this.settings;
		return (current != null) ? current.deployment() : "";
	}

	private @Nullable InetSocketAddress peerAddress(VmName vm) {
		Settings current = this.settings;
		Optional<EntryVm> found = (current != null) ? current.entryVm(vm) : Optional.empty();
		return found.map((peer) -> new InetSocketAddress(peer.host(), peer.peerPort())).orElse(null);
	}

	private void tick() {
		try {
			this.engine.apply(new Ticked());
			if (this.ticks++ % TICKS_PER_STATUS_CHECK == 0) {
				checkStatus(this.engine.status());
			}
		}
		catch (RuntimeException ex) {
			// An exception would cancel the scheduled task.
			LOG.error("{}", LogLine.event("tick.failed"), ex);
		}
	}

	private void checkStatus(Status status) {
		if (status.phase() == MemberPhase.LEAVING) {
			this.leaving = true;
		}
		if (!this.serving && !this.leaving && this.boundVm != null && status.permission() == WorkPermission.OPEN) {
			this.controlExecutor.execute(this::openCallerPort);
		}
	}

	private void applySettings(Settings next) {
		this.settings = next;
		this.backendClients.applySettings(next);
		EntryVm vm = next.entryVm(this.self.vm()).orElse(null);
		EntryVm before = this.boundVm;
		if (vm == null) {
			LOG.warn("{}",
					LogLine.event("settings.vm-missing").with("vm", this.self.vm()).with("version", next.version()));
		}
		else if (before == null) {
			openInternalPorts(vm);
		}
		else if (!isSameAddress(before, vm)) {
			LOG.warn("{}",
					LogLine.event("settings.address-changed")
						.with("vm", this.self.vm())
						.with("effect", "after a restart"));
		}
	}

	private static boolean isSameAddress(EntryVm a, EntryVm b) {
		return a.host().equals(b.host()) && a.callerPort() == b.callerPort() && a.peerPort() == b.peerPort()
				&& a.adminPort() == b.adminPort();
	}

	private void openInternalPorts(EntryVm vm) {
		try {
			this.peerTransport.listen(vm.host(), vm.peerPort());
			this.adminServer.listen(vm.host(), vm.adminPort());
			this.boundVm = vm;
			LOG.info("{}", LogLine.event("ports.opened").with("peer", vm.peerPort()).with("admin", vm.adminPort()));
		}
		catch (PeerException | HttpServerException ex) {
			fail(ex);
		}
	}

	private void openCallerPort() {
		EntryVm vm = this.boundVm;
		if (this.serving || vm == null) {
			return;
		}
		try {
			this.callerServer.listen(vm.host(), vm.callerPort());
			this.serving = true;
			LOG.info("{}", LogLine.event("ports.opened").with("caller", vm.callerPort()));
		}
		catch (HttpServerException ex) {
			fail(ex);
		}
	}

	private void fail(Exception ex) {
		LOG.error("{}", LogLine.event("process.failed").with("reason", String.valueOf(ex.getMessage())), ex);
		this.exitCode = Lovagevale.EXIT_CODE_ENVIRONMENT;
		this.terminated.countDown();
	}

	private void stopAccepting() {
		this.leaving = true;
		this.callerServer.stopAccepting();
	}

	private void shutDown() {
		sleep(PEER_FLUSH_MS);
		int connections = this.callerServer.closeConnections(MAX_DRAIN_MS);
		LOG.info("{}",
				LogLine.event("process.ended")
					.with("interrupted", this.engine.openRequestCount())
					.with("connections", connections));
		this.ticker.shutdown();
		this.adminServer.close();
		this.peerTransport.close();
		this.backendClients.close();
		this.terminated.countDown();
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
