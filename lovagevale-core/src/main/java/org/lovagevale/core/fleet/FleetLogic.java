package org.lovagevale.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.AuditRecorder;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.decision.ApplySettings;
import org.lovagevale.core.decision.KeepLinks;
import org.lovagevale.core.event.AddressesAsked;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.OutcomeAsked;
import org.lovagevale.core.event.PeerConnected;
import org.lovagevale.core.event.PeerLost;
import org.lovagevale.core.event.PeerMessageReceived;
import org.lovagevale.core.event.PeerRefused;
import org.lovagevale.core.event.SettingsConfirmed;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.core.event.SettingsUnavailable;
import org.lovagevale.core.event.StopRequested;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.event.VmListReceived;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.keys.IdempotencyKeyStore;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.core.message.SuspectEntry;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.Settings;

/**
 * The part of the decision logic that handles the platform and the other entry processes.
 *
 * <p>
 * Invariants: the version of the settings in force never decreases; new work is permitted
 * only while the settings are confirmed or a majority of the published VMs is reachable,
 * both as of the time of the call. Not thread-safe.
 */
public final class FleetLogic implements Fleet {

	/**
	 * Time after the start during which the list of VMs may still show the predecessor of
	 * this process as leaving.
	 */
	static final long VM_LIST_LAG_MS = 60_000;

	private final ProcessIdentity self;

	private final Clock clock;

	private final DecisionSink sink;

	private final IdempotencyKeyStore keys;

	private final long startedAt;

	private final AuditRecorder audit;

	private final InputCounters counters = new InputCounters();

	private final Heartbeat heartbeat = new Heartbeat();

	private final ActiveSettings activeSettings;

	private final Members members;

	private final SettingsFreshness freshness;

	private final PlatformReads platformReads;

	private final StartupCondition startupCondition;

	private final Ownership ownership;

	private final ServerReports reports;

	private final LeavingNames leavingNames;

	private final Suspects suspects;

	private final PeerLinks peerLinks;

	private final SuspectNotices notices;

	private final KeyArchives archives;

	private final OutcomeQueries queries;

	private final CallerOutcomeQueries callerQueries;

	private final CallerAddressSelector addressSelector;

	private final PlannedStop plannedStop;

	private final AdmissionControl admission;

	private final ReachabilityAudit reachability;

	private final DigestWriter digestWriter;

	private final PeerMessageHandler messageHandler;

	private final GossipTopology topology;

	private long lastDigestAt = Heartbeat.NEVER;

	private int runningRequests;

	/**
	 * Creates the logic of a starting process.
	 * @param self this process
	 * @param clock the clock
	 * @param random the source of jitter and identifiers
	 * @param keys the idempotency keys of this process
	 * @param sink receives the decisions
	 */
	public FleetLogic(ProcessIdentity self, Clock clock, RandomSource random, IdempotencyKeyStore keys,
			DecisionSink sink) {
		this.self = self;
		this.clock = clock;
		this.sink = sink;
		this.keys = keys;
		this.startedAt = clock.millis();
		this.audit = new AuditRecorder(clock, sink);
		this.activeSettings = new ActiveSettings(self.vm());
		this.members = new Members(clock);
		this.freshness = new SettingsFreshness(clock, this.activeSettings);
		this.platformReads = new PlatformReads(self, clock, random, sink, this.activeSettings, this.freshness);
		this.startupCondition = new StartupCondition(self.vm(), this.activeSettings);
		this.ownership = new Ownership(self.vm(), clock, this.activeSettings);
		this.reports = new ServerReports(clock);
		this.leavingNames = new LeavingNames(clock);
		this.suspects = new Suspects(self, clock, this.activeSettings, this.audit);
		this.peerLinks = new PeerLinks(clock, sink, this.activeSettings);
		this.notices = new SuspectNotices(clock, random, this.activeSettings, this.members, this.suspects,
				this.peerLinks);
		this.archives = new KeyArchives(clock);
		this.queries = new OutcomeQueries(self, clock, random, keys, this.activeSettings, this.members, this.archives,
				this.peerLinks);
		this.callerQueries = new CallerOutcomeQueries(this.queries, sink);
		this.addressSelector = new CallerAddressSelector(this.activeSettings, this.members, this.leavingNames);
		this.plannedStop = new PlannedStop(self, clock, sink, keys, this.activeSettings, this.members, this.peerLinks,
				this.audit);
		this.admission = new AdmissionControl(self.vm(), this.activeSettings, this.freshness, this.members,
				this.startupCondition, this.plannedStop, this.audit);
		this.reachability = new ReachabilityAudit(this.activeSettings, this.members, this.audit);
		this.topology = new GossipTopology(self.vm(), this.activeSettings, this.members);
		this.digestWriter = new DigestWriter(clock, this.activeSettings, this.freshness, this.members, this.reports,
				this.leavingNames, this.suspects, this::ownEntry);
		this.messageHandler = new PeerMessageHandler(self, clock, this.activeSettings, this.heartbeat, this.members,
				this.freshness, this.startupCondition, this.reports, this.leavingNames, this.suspects, this.notices,
				this.archives, this.queries, this.peerLinks, this.plannedStop, this.counters);
	}

	/**
	 * Handles an event; events that concern requests only are ignored.
	 * @param event the event
	 */
	public void apply(Event event) {
		switch (event) {
			case SettingsReceived received -> settingsReceived(received);
			case SettingsConfirmed confirmed -> settingsConfirmed(confirmed);
			case SettingsUnavailable unavailable -> this.platformReads.recordFailure();
			case VmListReceived list -> vmListReceived(list);
			case PeerMessageReceived message -> this.messageHandler.receive(message.from(), message.message());
			case PeerConnected connected -> peerConnected(connected);
			case PeerRefused refused -> peerRefused(refused);
			case PeerLost lost -> this.peerLinks.remove(lost.peer());
			case AddressesAsked asked -> this.sink.add(this.addressSelector.answer(asked, ownEntry()));
			case OutcomeAsked asked -> this.callerQueries.submit(asked);
			case StopRequested requested -> beginStop("requested");
			case Ticked ticked -> tick();
			default -> {
			}
		}
	}

	/**
	 * Sets the number of requests in progress; a planned stop waits until it is 0.
	 * @param count the number of requests
	 */
	public void setRunningRequests(int count) {
		this.runningRequests = count;
	}

	/**
	 * Returns the known entry processes, including this one.
	 * @return the members ordered by VM name
	 */
	public List<MemberEntry> members() {
		List<MemberEntry> entries = new ArrayList<>(this.members.all().stream().map(Member::entry).toList());
		entries.add(ownEntry());
		entries.sort(Comparator.comparing(MemberEntry::vm));
		return entries;
	}

	/**
	 * Returns the requests that crashed backend servers.
	 * @return the suspects ordered by fingerprint
	 */
	public List<SuspectEntry> suspects() {
		return this.suspects.entries();
	}

	/**
	 * Returns the phase of this process.
	 * @return the phase
	 */
	public MemberPhase phase() {
		if (this.plannedStop.isLeaving()) {
			return MemberPhase.LEAVING;
		}
		return this.admission.isStarted() ? MemberPhase.LIVE : MemberPhase.STARTING;
	}

	/**
	 * Returns the time since the platform confirmed the settings in force.
	 * @return the time in milliseconds, -1 if it never did
	 */
	public long confirmedAgeMs() {
		return this.freshness.ageMs();
	}

	/**
	 * Returns the counters of received input.
	 * @return the counters since the start
	 */
	public FleetCounters counters() {
		return this.counters.toFleetCounters();
	}

	@Override
	public @Nullable Settings settings() {
		return this.activeSettings.settings();
	}

	@Override
	public WorkPermission permission() {
		return this.admission.permission();
	}

	@Override
	public long ownedForMs(BackendServer server) {
		boolean isReliable = permission() == WorkPermission.OPEN
				&& this.freshness.isConfirmed(this.activeSettings.exchange().fenceMs());
		return isReliable ? this.ownership.ownedForMs(server) : 0;
	}

	@Override
	public @Nullable ServerEntry peerReport(ServerName server) {
		return this.reports.peerReport(server);
	}

	@Override
	public boolean isLeaving(ServerName server) {
		return this.leavingNames.isLeaving(server.value());
	}

	@Override
	public void recordState(ServerName server, ServerState state, String boot) {
		this.reports.recordState(server, state, boot);
	}

	@Override
	public SuspectStatus suspectStatus(Fingerprint fingerprint) {
		return this.suspects.status(fingerprint);
	}

	@Override
	public long recordCrash(Fingerprint fingerprint, Set<Region> regions) {
		return this.notices.send(this.suspects.recordCrash(fingerprint, regions), regions);
	}

	@Override
	public long startTrial(Fingerprint fingerprint, long trialMs, Set<Region> regions) {
		return this.notices.send(this.suspects.startTrial(fingerprint, trialMs, regions), regions);
	}

	@Override
	public void endTrial(Fingerprint fingerprint, Set<Region> regions, boolean answered) {
		SuspectEntry entry = this.suspects.endTrial(fingerprint, answered);
		if (entry != null) {
			this.notices.send(entry, regions);
		}
	}

	@Override
	public boolean isNoticeSettled(long noticeId) {
		return this.notices.isSettled(noticeId);
	}

	@Override
	public long queryOutcome(IdempotencyKey key, Set<Region> regions) {
		return this.queries.submit(key, regions);
	}

	@Override
	public @Nullable Outcome outcomeOf(long queryId) {
		return this.queries.outcomeOf(queryId);
	}

	private void settingsReceived(SettingsReceived event) {
		long confirmedAt = event.fromPlatform() ? this.platformReads.completeRead() : Heartbeat.NEVER;
		long version = event.settings().version();
		if (version > this.activeSettings.version()) {
			adopt(event);
		}
		else if (version < this.activeSettings.version()) {
			this.counters.countStaleVersion();
		}
		if (confirmedAt != Heartbeat.NEVER && !this.freshness.confirm(version, confirmedAt)) {
			this.counters.countStaleVersion();
		}
	}

	private void adopt(SettingsReceived event) {
		Settings previous = this.activeSettings.settings();
		long confirmedAgeMs = this.freshness.ageMs();
		Settings settings = event.settings();
		this.activeSettings.adopt(settings, event.content());
		this.freshness.applyNewerConfirmation();
		this.ownership.applySettings(previous, confirmedAgeMs);
		this.keys.configure(settings.keys());
		this.sink.add(new ApplySettings(settings));
		this.audit.add("settings.adopted", "version", settings.version(), "previous",
				(previous != null) ? previous.version() : 0, "source", event.fromPlatform() ? "platform" : "peer");
		DomainAudit.recordChanges(this.audit, previous, settings);
		boolean wasPublished = previous != null && previous.entryVm(this.self.vm()).isPresent();
		if (wasPublished && !this.activeSettings.isPublished(this.self.vm())) {
			beginStop("no longer published");
		}
	}

	private void settingsConfirmed(SettingsConfirmed event) {
		long confirmedAt = this.platformReads.completeWait();
		if (confirmedAt != Heartbeat.NEVER && event.version() > 0
				&& !this.freshness.confirm(event.version(), confirmedAt)) {
			this.counters.countStaleVersion();
		}
	}

	private void vmListReceived(VmListReceived event) {
		this.leavingNames.update(event.leaving(), event.live());
		Set<String> names = new TreeSet<>(event.live());
		names.addAll(event.leaving());
		this.startupCondition.recordVmList(names);
	}

	private void peerConnected(PeerConnected event) {
		this.peerLinks.add(event.peer());
		sendDigest(event.peer());
	}

	private void peerRefused(PeerRefused event) {
		this.startupCondition.recordRefusal(event.peer());
		this.peerLinks.remove(event.peer());
	}

	// Callers can only have cached the address of this process if it has started to
	// serve.
	private void beginStop(String reason) {
		boolean isStarted = this.admission.isStarted();
		Settings settings = this.activeSettings.settings();
		this.plannedStop.begin(reason, (isStarted && settings != null) ? settings.addresses().validForMs() : 0);
	}

	private void tick() {
		this.admission.tick(this.freshness.highestPeerVersion());
		stopIfListedAsLeaving();
		this.plannedStop.tick(this.runningRequests);
		this.platformReads.tick(!this.admission.isStarted());
		updateLinks();
		sendDigestsAndExpire();
		this.callerQueries.tick();
	}

	private void stopIfListedAsLeaving() {
		boolean isListCurrent = this.clock.millis() - this.startedAt >= VM_LIST_LAG_MS;
		if (isListCurrent && this.leavingNames.isLeaving(this.self.vm().value())) {
			beginStop("listed as leaving");
		}
	}

	private void updateLinks() {
		if (this.topology.update(this.admission.isStarted())) {
			this.sink.add(new KeepLinks(this.topology.linkedPeers()));
		}
	}

	private void sendDigestsAndExpire() {
		long now = this.clock.millis();
		if (now - this.lastDigestAt < this.activeSettings.exchange().digestMs()) {
			return;
		}
		this.lastDigestAt = now;
		this.heartbeat.increment(now);
		this.peerLinks.links().keySet().stream().filter(this.topology::isDigestPeer).forEach(this::sendDigest);
		this.reachability.tick();
		this.suspects.expire();
		this.notices.expire();
		this.queries.expire();
		this.archives.expire();
	}

	private void sendDigest(VmName peer) {
		PeerLinkState link = this.peerLinks.find(peer);
		if (link != null) {
			this.peerLinks.send(peer, this.digestWriter.write(peer, link, this.peerLinks.availableBytes(link)));
		}
	}

	private MemberEntry ownEntry() {
		boolean isFenced = this.admission.permission() == WorkPermission.FENCED;
		return new MemberEntry(this.self.vm().value(), this.self.incarnation().toString(), this.heartbeat.beat(),
				phase().name(), this.keys.currentEpoch(), isFenced);
	}

}
