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
import org.lovagevale.core.Self;
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
import org.lovagevale.core.keys.Keys;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.core.message.SuspectEntry;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.Settings;

/**
 * The part of the decision logic that deals with the platform and the other entry
 * processes.
 *
 * <p>
 * Invariants: the settings in force never go to a lower version; new work is permitted
 * only while the settings are confirmed or a majority of the published VMs is heard, both
 * as of the clock at the call. Not thread-safe.
 */
public final class FleetLogic implements Fleet {

	/**
	 * Time since the start for which the list of VMs may still show a predecessor of this
	 * process as leaving. Chosen, not measured.
	 */
	static final long LIST_LAG_MS = 60_000;

	private final Self self;

	private final Clock clock;

	private final DecisionSink sink;

	private final Keys keys;

	private final long startedAt;

	private final AuditRecorder audit;

	private final Counters counters = new Counters();

	private final Heartbeat heartbeat = new Heartbeat();

	private final Published published;

	private final Members members;

	private final SettingsFreshness freshness;

	private final PlatformReads reads;

	private final StartRule startRule;

	private final Ownership ownership;

	private final ServerReports reports;

	private final LeavingMarks leaving;

	private final Suspects suspects;

	private final Outbox outbox;

	private final Notices notices;

	private final Archives archives;

	private final OutcomeQueries queries;

	private final OutcomeQuestions questions;

	private final CallerAddresses addresses;

	private final PlannedStop stop;

	private final Permission permission;

	private final MemberWatch watch;

	private final DigestWriter writer;

	private final PeerInbox inbox;

	private final ExchangeGraph graph;

	private long digestAt = Heartbeat.NEVER;

	private int running;

	/**
	 * Creates the logic of a process that starts.
	 * @param self this process
	 * @param clock the clock
	 * @param random the source of jitter and identifiers
	 * @param keys the idempotency keys of this process
	 * @param sink takes the decisions
	 */
	public FleetLogic(Self self, Clock clock, RandomSource random, Keys keys, DecisionSink sink) {
		this.self = self;
		this.clock = clock;
		this.sink = sink;
		this.keys = keys;
		this.startedAt = clock.millis();
		this.audit = new AuditRecorder(clock, sink);
		this.published = new Published(self.vm());
		this.members = new Members(clock);
		this.freshness = new SettingsFreshness(clock, this.published);
		this.reads = new PlatformReads(self, clock, random, sink, this.published, this.freshness);
		this.startRule = new StartRule(self.vm(), this.published);
		this.ownership = new Ownership(self.vm(), clock, this.published);
		this.reports = new ServerReports(clock);
		this.leaving = new LeavingMarks(clock);
		this.suspects = new Suspects(self, clock, this.published, this.audit);
		this.outbox = new Outbox(clock, sink, this.published);
		this.notices = new Notices(clock, random, this.published, this.members, this.suspects, this.outbox);
		this.archives = new Archives(clock);
		this.queries = new OutcomeQueries(self, clock, random, keys, this.published, this.members, this.archives,
				this.outbox);
		this.questions = new OutcomeQuestions(this.queries, sink);
		this.addresses = new CallerAddresses(this.published, this.members, this.leaving);
		this.stop = new PlannedStop(self, clock, sink, keys, this.published, this.members, this.outbox, this.audit);
		this.permission = new Permission(self.vm(), this.published, this.freshness, this.members, this.startRule,
				this.stop, this.audit);
		this.watch = new MemberWatch(this.published, this.members, this.audit);
		this.graph = new ExchangeGraph(self.vm(), this.published, this.members);
		this.writer = new DigestWriter(clock, this.published, this.freshness, this.members, this.reports, this.leaving,
				this.suspects, this::ownEntry);
		this.inbox = new PeerInbox(self, clock, this.published, this.heartbeat, this.members, this.freshness,
				this.startRule, this.reports, this.leaving, this.suspects, this.notices, this.archives, this.queries,
				this.outbox, this.stop, this.counters);
	}

	/**
	 * Handles an event; events that concern requests only are ignored.
	 * @param event the event
	 */
	public void apply(Event event) {
		switch (event) {
			case SettingsReceived received -> received(received);
			case SettingsConfirmed confirmed -> confirmed(confirmed);
			case SettingsUnavailable unavailable -> this.reads.failed();
			case VmListReceived list -> listed(list);
			case PeerMessageReceived message -> this.inbox.received(message.from(), message.message());
			case PeerConnected connected -> connected(connected);
			case PeerRefused refused -> refused(refused);
			case PeerLost lost -> this.outbox.lost(lost.peer());
			case AddressesAsked asked -> this.sink.add(this.addresses.answer(asked, ownEntry()));
			case OutcomeAsked asked -> this.questions.ask(asked);
			case StopRequested requested -> beginStop("requested");
			case Ticked ticked -> tick();
			default -> {
			}
		}
	}

	/**
	 * Takes the number of requests in progress, which a planned stop waits for.
	 * @param running the number
	 */
	public void setRunningRequests(int running) {
		this.running = running;
	}

	/**
	 * Returns the entry processes that are known, with this one.
	 * @return the members in order of name
	 */
	public List<MemberEntry> members() {
		List<MemberEntry> entries = new ArrayList<>(this.members.all().stream().map(Member::entry).toList());
		entries.add(ownEntry());
		entries.sort(Comparator.comparing(MemberEntry::vm));
		return entries;
	}

	/**
	 * Returns the requests that crashed backend servers.
	 * @return the suspects in order of fingerprint
	 */
	public List<SuspectEntry> suspects() {
		return this.suspects.entries();
	}

	/**
	 * Returns the phase of this process.
	 * @return the phase
	 */
	public MemberPhase phase() {
		if (this.stop.isLeaving()) {
			return MemberPhase.LEAVING;
		}
		return this.permission.isStarted() ? MemberPhase.LIVE : MemberPhase.STARTING;
	}

	/**
	 * Returns the time since the platform confirmed the settings in force.
	 * @return the time in milliseconds, -1 if it never did
	 */
	public long confirmedAgeMs() {
		return this.freshness.ageMs();
	}

	/**
	 * Returns the counts of what was received.
	 * @return the counts since the start
	 */
	public FleetCounters counters() {
		return this.counters.toFleetCounters();
	}

	@Override
	public @Nullable Settings settings() {
		return this.published.settings();
	}

	@Override
	public WorkPermission permission() {
		return this.permission.now();
	}

	@Override
	public long ownedForMs(BackendServer server) {
		boolean isReliable = permission() == WorkPermission.OPEN
				&& this.freshness.isConfirmed(this.published.exchange().fenceMs());
		return isReliable ? this.ownership.ownedForMs(server) : 0;
	}

	@Override
	public @Nullable ServerEntry peerReport(ServerName server) {
		return this.reports.peerReport(server);
	}

	@Override
	public boolean isLeaving(ServerName server) {
		return this.leaving.isLeaving(server.value());
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
	public long strike(Fingerprint fingerprint, Set<Region> regions) {
		return this.notices.send(this.suspects.strike(fingerprint, regions), regions);
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
		return this.queries.ask(key, regions);
	}

	@Override
	public @Nullable Outcome outcomeOf(long queryId) {
		return this.queries.outcomeOf(queryId);
	}

	private void received(SettingsReceived event) {
		long at = event.fromPlatform() ? this.reads.answered() : Heartbeat.NEVER;
		long version = event.settings().version();
		if (version > this.published.version()) {
			adopt(event);
		}
		else if (version < this.published.version()) {
			this.counters.staleVersion();
		}
		if (at != Heartbeat.NEVER && !this.freshness.confirm(version, at)) {
			this.counters.staleVersion();
		}
	}

	private void adopt(SettingsReceived event) {
		Settings previous = this.published.settings();
		long confirmedAgeMs = this.freshness.ageMs();
		Settings settings = event.settings();
		this.published.adopt(settings, event.content());
		this.freshness.adopted();
		this.ownership.adopted(previous, confirmedAgeMs);
		this.keys.configure(settings.keys());
		this.sink.add(new ApplySettings(settings));
		this.audit.add("settings.adopted", "version", settings.version(), "previous",
				(previous != null) ? previous.version() : 0, "source", event.fromPlatform() ? "platform" : "peer");
		DomainAudit.add(this.audit, previous, settings);
		boolean wasPublished = previous != null && previous.entryVm(this.self.vm()).isPresent();
		if (wasPublished && !this.published.isPublished(this.self.vm())) {
			beginStop("no longer published");
		}
	}

	private void confirmed(SettingsConfirmed event) {
		long at = this.reads.answeredAfterWait();
		if (at != Heartbeat.NEVER && event.version() > 0 && !this.freshness.confirm(event.version(), at)) {
			this.counters.staleVersion();
		}
	}

	private void listed(VmListReceived event) {
		this.leaving.listed(event.leaving(), event.live());
		Set<String> names = new TreeSet<>(event.live());
		names.addAll(event.leaving());
		this.startRule.listed(names);
	}

	private void connected(PeerConnected event) {
		this.outbox.connected(event.peer());
		sendDigest(event.peer());
	}

	private void refused(PeerRefused event) {
		this.startRule.refused(event.peer());
		this.outbox.lost(event.peer());
	}

	private void beginStop(String reason) {
		boolean hasServed = this.permission.isStarted();
		Settings settings = this.published.settings();
		this.stop.begin(reason, (hasServed && settings != null) ? settings.addresses().validForMs() : 0);
	}

	private void tick() {
		this.permission.tick(this.freshness.highestClaim());
		stopIfListed();
		this.stop.tick(this.running);
		this.reads.tick(!this.permission.isStarted());
		keepLinks();
		exchange();
		this.questions.tick();
	}

	private void stopIfListed() {
		boolean isSettled = this.clock.millis() - this.startedAt >= LIST_LAG_MS;
		if (isSettled && this.leaving.isLeaving(this.self.vm().value())) {
			beginStop("listed as leaving");
		}
	}

	private void keepLinks() {
		if (this.graph.update(this.permission.isStarted())) {
			this.sink.add(new KeepLinks(this.graph.kept()));
		}
	}

	private void exchange() {
		long now = this.clock.millis();
		if (now - this.digestAt < this.published.exchange().digestMs()) {
			return;
		}
		this.digestAt = now;
		this.heartbeat.issue(now);
		this.outbox.links().keySet().stream().filter(this.graph::isExchange).forEach(this::sendDigest);
		this.watch.tick();
		this.suspects.expire();
		this.notices.expire();
		this.queries.expire();
		this.archives.expire();
	}

	private void sendDigest(VmName peer) {
		PeerLink link = this.outbox.link(peer);
		if (link != null) {
			this.outbox.send(peer, this.writer.write(peer, link, this.outbox.available(link)));
		}
	}

	private MemberEntry ownEntry() {
		boolean isFenced = this.permission.now() == WorkPermission.FENCED;
		return new MemberEntry(this.self.vm().value(), this.self.incarnation().toString(), this.heartbeat.beat(),
				phase().name(), this.keys.currentEpoch(), isFenced);
	}

}
