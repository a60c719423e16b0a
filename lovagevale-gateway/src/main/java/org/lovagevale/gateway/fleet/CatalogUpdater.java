package org.lovagevale.gateway.fleet;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.Catalog;
import org.lovagevale.core.catalog.CatalogChange;
import org.lovagevale.core.catalog.CatalogDecoder;
import org.lovagevale.core.catalog.CatalogRevision;
import org.lovagevale.core.catalog.Observation;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.catalog.ServingConfiguration;
import org.lovagevale.core.catalog.StoreContact;
import org.lovagevale.core.message.CatalogNews;
import org.lovagevale.core.message.CatalogRequest;
import org.lovagevale.core.roster.MessageDelays;
import org.lovagevale.core.roster.ReadSchedule;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.gateway.CatalogSource;
import org.lovagevale.gateway.CatalogState;
import org.lovagevale.gateway.GatewayMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;

/**
 * Keeps the catalog of this process up to date. Depending on the rank of this process
 * among the potential readers of its region, it reads the platform itself or applies the
 * changes that other processes send. A process that has read the platform sends the
 * change to the other processes of its region and to one entry VM of each other region,
 * which forwards it within its region.
 *
 * <p>
 * Not thread-safe; all methods must be called on the event loop.
 */
public final class CatalogUpdater {

	/**
	 * Time for which the same message with the complete catalog is sent to processes that
	 * request it, in milliseconds. It seems to have waited for up to this time.
	 */
	private static final long COMPLETE_NEWS_REUSE_MS = 50;

	/** Maximum number of changed keys in one log line. */
	private static final int MAX_LOGGED_KEYS = 8;

	/**
	 * Interval between requests for a former configuration, in milliseconds. Each is
	 * answered with the whole catalog.
	 */
	private static final long REQUEST_INTERVAL_MS = 3_000;

	private static final Logger LOGGER = LoggerFactory.getLogger(CatalogUpdater.class);

	private final EventLoop loop;

	private final Clock clock;

	private final Roster roster;

	private final RemoteContacts contacts;

	private final RegionMessageSender sender;

	private final CatalogSource source;

	private final Catalog catalog;

	private final GatewayMetrics metrics;

	private final ReadSchedule schedule;

	private final MessageDelays delays = new MessageDelays();

	/** When the former configuration was requested, {@link Long#MIN_VALUE} if never. */
	private long requestedAt = Long.MIN_VALUE;

	/** When news arrived last, however old. */
	private long newsArrivedAt;

	/** Whether the last read that was started since then failed. */
	private boolean readFailedSinceNews;

	private Runnable changeListener = () -> {
	};

	private Map<ServerName, BackendInstance> servers = Map.of();

	private @Nullable Disposable readInProgress;

	/** The process that the initial catalog was requested from. */
	private @Nullable VmName requestedFrom;

	/** The last complete catalog that was sent, encoded once for several receivers. */
	private @Nullable CatalogNews completeNews;

	private long completeNewsAt;

	/**
	 * Creates an updater with an empty catalog.
	 * @param loop the event loop on which results of reads are processed
	 * @param clock the source of the current time
	 * @param roster the known entry processes; determines the reader rank of this process
	 * @param contacts the known entry VMs of other regions
	 * @param sender sends messages to other entry processes
	 * @param source reads the published state from the platform
	 * @param decoder decodes published items
	 * @param metrics counts reads of the platform
	 */
	public CatalogUpdater(EventLoop loop, Clock clock, Roster roster, RemoteContacts contacts,
			RegionMessageSender sender, CatalogSource source, CatalogDecoder decoder, GatewayMetrics metrics) {
		this.loop = loop;
		this.clock = clock;
		this.roster = roster;
		this.contacts = contacts;
		this.sender = sender;
		this.source = source;
		this.catalog = new Catalog(decoder);
		this.metrics = metrics;
		this.schedule = new ReadSchedule(clock.millis(), roster.self().capacity());
		this.newsArrivedAt = clock.millis();
	}

	/**
	 * Sets the listener that is called after each change of the catalog.
	 * @param listener the listener, called on the event loop
	 */
	public void onChange(Runnable listener) {
		this.changeListener = listener;
	}

	/**
	 * Returns the catalog.
	 * @return the catalog
	 */
	public Catalog catalog() {
		return this.catalog;
	}

	/**
	 * Returns the latest known configuration.
	 * @return the configuration, or {@code null} if none has been received yet
	 */
	public @Nullable ServingConfiguration configuration() {
		return this.catalog.configuration();
	}

	/**
	 * Returns the server with the given name.
	 * @param id the name of the server
	 * @return the server, or {@code null} if it is not in the catalog
	 */
	public @Nullable BackendInstance server(ServerName id) {
		return this.servers.get(id);
	}

	/**
	 * Returns all servers in the catalog.
	 * @return the servers by name
	 */
	public Map<ServerName, BackendInstance> servers() {
		return this.servers;
	}

	/**
	 * Returns the age of the catalog.
	 * @return the time since the catalog was last known to be current, in milliseconds;
	 * {@link Long#MAX_VALUE} if it has not been received yet
	 */
	public long ageMs() {
		return this.catalog.ageMs(this.clock.millis());
	}

	/**
	 * Reads the platform if a read by this process is due.
	 */
	public void tick() {
		long now = this.clock.millis();
		long ageMs = this.catalog.ageMs(now);
		removeExpired(now);
		if (ageMs == Long.MAX_VALUE && this.schedule.mayRequestState()) {
			requestInitialCatalog(now);
		}
		// The rank is computed only if the first rank would read.
		if (this.schedule.isDue(ageMs, 0, now) && this.schedule.isDue(ageMs, this.roster.readerRank(), now)) {
			read(now);
		}
	}

	private void removeExpired(long now) {
		if (this.catalog.isRetaining()) {
			boolean heardNothing = now - this.newsArrivedAt >= Roster.HEARTBEAT_TIMEOUT_MS
					&& this.roster.alive().size() <= 1;
			handleChange(this.catalog.removeExpired(now, heardNothing && this.readFailedSinceNews), "retention");
		}
	}

	private void requestInitialCatalog(long now) {
		List<RosterMember> serving = this.roster.serving()
			.stream()
			.filter((member) -> !member.vm().equals(this.roster.self().vm()))
			.toList();
		if (serving.isEmpty()) {
			return;
		}
		Disposable read = this.readInProgress;
		if (read != null) {
			read.dispose();
		}
		// Spreads the processes that start together over those that serve, and asks
		// another
		// one after a failure.
		int position = this.roster.self().vm().hashCode() + this.schedule.failures();
		VmName chosen = serving.get(Math.floorMod(position, serving.size())).vm();
		this.schedule.recordStateRequested(now);
		this.requestedFrom = chosen;
		LOGGER.info("{}", LogLine.event("catalog.requested").with("from", chosen));
		this.sender.send(chosen, new CatalogRequest(0));
	}

	/**
	 * Handles the loss of the connection to another process.
	 * @param vm the VM of the other process
	 */
	public void handleConnectionLost(VmName vm) {
		if (vm.equals(this.requestedFrom)) {
			this.requestedFrom = null;
			this.schedule.recordRequestFailed();
		}
	}

	private void read(long now) {
		this.schedule.recordStart(now);
		this.readInProgress = this.source.read(this.schedule.silenceMs())
			.subscribe((state) -> this.loop.execute(() -> handleReadSuccess(state, now)),
					(error) -> this.loop.execute(() -> handleReadFailure(error, now)));
	}

	private void handleReadSuccess(CatalogState state, long startedAt) {
		if (this.schedule.failures() > 0 || this.catalog.revision() == 0) {
			LOGGER.info("{}",
					LogLine.event("platform.regained")
						.with("asOf", CatalogRevision.withinEra(state.asOf()))
						.with("era", CatalogRevision.era(state.asOf()))
						.with("items", state.items().size())
						.with("failures", this.schedule.failures()));
		}
		this.metrics.countPlatformRead(true);
		this.schedule.recordSuccess();
		this.readFailedSinceNews = false;
		long baseRevision = this.catalog.revision();
		long now = this.clock.millis();
		CatalogChange change = this.catalog.replace(state.items(), Observation.ofRead(state.asOf(), startedAt, now));
		logRestore(baseRevision, "platform");
		handleChange(change, "platform");
		CatalogNews news = (baseRevision == 0) ? CatalogNews.ofState(this.catalog, now)
				: CatalogNews.ofChange(this.catalog, baseRevision, change, now);
		// Sent even without a change, because it confirms that the catalog is current.
		sendToRegion(news);
		this.roster.serving()
			.stream()
			.filter((member) -> !member.vm().equals(this.roster.self().vm()))
			.findFirst()
			.ifPresent((member) -> requestIfUnconfigured(member.vm()));
		// One entry VM of each other region is enough; it forwards the change there.
		for (Region region : this.contacts.regions()) {
			RosterMember contact = this.contacts.contactIn(region);
			if (contact != null) {
				this.sender.send(contact.vm(), news);
			}
		}
	}

	// Another process may have the former configuration in force.
	private void requestIfUnconfigured(VmName from) {
		long now = this.clock.millis();
		boolean due = this.requestedAt == Long.MIN_VALUE || now - this.requestedAt >= REQUEST_INTERVAL_MS;
		if (due && this.catalog.mayLackConfiguration()) {
			this.requestedAt = now;
			this.sender.send(from, new CatalogRequest(0));
		}
	}

	// A sender without a roster entry is treated as one of another region.
	private boolean isFromOtherRegion(VmName vm) {
		RosterMember member = this.roster.find(vm);
		return member == null || !member.region().equals(this.roster.self().region());
	}

	private void sendToRegion(CatalogNews news) {
		for (RosterMember member : this.roster.alive()) {
			if (!member.vm().equals(this.roster.self().vm())) {
				this.sender.send(member.vm(), news);
			}
		}
	}

	private void handleReadFailure(Throwable error, long startedAt) {
		this.metrics.countPlatformRead(false);
		this.schedule.recordFailure();
		this.readFailedSinceNews |= startedAt >= this.newsArrivedAt;
		LOGGER.info("{}",
				LogLine.event("platform.read-failed")
					.with("failures", this.schedule.failures())
					.with("tookMs", this.clock.millis() - startedAt)
					.with("catalogAgeMs", ageMs())
					.with("reason", String.valueOf(error.getMessage())));
	}

	/**
	 * Applies the catalog or the change that another process sent. If the change is based
	 * on a newer revision than this process has, the complete catalog is requested from
	 * the sender instead.
	 * @param from the VM of the sender
	 * @param news the complete catalog or a change
	 */
	public void handleNews(VmName from, CatalogNews news) {
		if (this.catalog.revision() == 0 && !this.schedule.isInitialStateAccepted(news.ageMs())) {
			this.schedule.recordRequestFailed();
			return;
		}
		long now = this.clock.millis();
		this.newsArrivedAt = now;
		this.readFailedSinceNews = false;
		long knownRevision = this.catalog.revision();
		boolean reader = this.schedule.isReader();
		OptionalLong delay = recordDelay(from, news.sentAtMs());
		CatalogChange change = news.applyTo(this.catalog, now - delay.orElse(0), delay.isPresent());
		StoreContact contact = this.catalog.contact();
		if (contact != null) {
			this.schedule.recordStoreContact(contact.since());
		}
		if (change == null) {
			this.sender.send(from, new CatalogRequest(this.catalog.revision()));
			return;
		}
		if (!news.complete()) {
			requestIfUnconfigured(from);
		}
		logRestore(knownRevision, from.value());
		// If two processes read, the one on the VM with the lower name remains the
		// reader.
		if (from.compareTo(this.roster.self().vm()) < 0 || !this.schedule.isReader()) {
			this.schedule.recordNewerState();
		}
		handleChange(change, from.value());
		if (isFromOtherRegion(from) && !news.complete()) {
			sendToRegion(news.forwardedBy(this.catalog, now));
		}
		if (reader && news.isUncertain()) {
			confirmIfContactIsOlder(from, news, now);
		}
	}

	/**
	 * Records how long a message waited on its way. Heartbeats are recorded as well as
	 * news, so that the delay is known already when the sender becomes the reader.
	 * @param from the VM of the sender
	 * @param sentAtMs the monotonic time of the sender, in milliseconds; 0 if not stated
	 * @return the delay in milliseconds, empty if it is not known
	 */
	public OptionalLong recordDelay(VmName from, long sentAtMs) {
		return (sentAtMs != 0) ? this.delays.record(from, sentAtMs, this.clock.millis()) : OptionalLong.empty();
	}

	// The sender may become the reader, and would not learn then that the store had been
	// well for longer than it knows.
	private void confirmIfContactIsOlder(VmName to, CatalogNews news, long now) {
		CatalogNews confirmation = CatalogNews.ofChange(this.catalog, this.catalog.revision(), CatalogChange.NONE, now);
		if (confirmation.contactMs() > news.contactMs()) {
			this.sender.send(to, confirmation);
		}
	}

	/**
	 * Sends the complete catalog to a process that missed a change, if the catalog of
	 * this process is newer.
	 * @param from the VM of the sender
	 * @param request the revision that the sender has
	 */
	public void handleRequest(VmName from, CatalogRequest request) {
		if (this.catalog.revision() > request.knownRevision()) {
			this.sender.send(from, completeNews());
		}
	}

	private CatalogNews completeNews() {
		long now = this.clock.millis();
		CatalogNews known = this.completeNews;
		if (known != null && known.asOf() == this.catalog.revision()
				&& now - this.completeNewsAt < COMPLETE_NEWS_REUSE_MS) {
			return known;
		}
		CatalogNews news = CatalogNews.ofState(this.catalog, now);
		this.completeNews = news;
		this.completeNewsAt = now;
		return news;
	}

	private void logRestore(long knownRevision, String from) {
		long revision = this.catalog.revision();
		if (knownRevision != 0 && CatalogRevision.era(revision) > CatalogRevision.era(knownRevision)) {
			LOGGER.warn("{}",
					LogLine.event("platform.restored")
						.with("from", from)
						.with("era", CatalogRevision.era(revision))
						.with("asOf", CatalogRevision.withinEra(revision))
						.with("knownAsOf", CatalogRevision.withinEra(knownRevision)));
		}
	}

	private void handleChange(CatalogChange change, String from) {
		if (change.isEmpty()) {
			return;
		}
		this.completeNews = null;
		this.servers = Map.copyOf(this.catalog.servers());
		ServingConfiguration configuration = this.catalog.configuration();
		LOGGER.info("{}",
				LogLine.event("catalog.changed")
					.with("from", from)
					.with("asOf", CatalogRevision.withinEra(this.catalog.revision()))
					.with("ageMs", ageMs())
					.with("version", (configuration != null) ? configuration.version() : 0)
					.with("servers", this.servers.size())
					.with("evacuated", this.catalog.evacuated().stream().limit(MAX_LOGGED_KEYS).toList())
					.with("changed", loggedKeys(change))
					.with("removed", change.removed().stream().limit(MAX_LOGGED_KEYS).toList())
					.with("missing", change.missing().stream().limit(MAX_LOGGED_KEYS).toList())
					// Tells an outage of the store from a time in which this process was
					// cut off.
					.with("contactMs", this.catalog.contactMs(this.clock.millis())));
		this.changeListener.run();
	}

	private static List<String> loggedKeys(CatalogChange change) {
		return change.changed().stream().map(PublishedItem::key).limit(MAX_LOGGED_KEYS).toList();
	}

	/**
	 * Returns the names of all servers in the catalog.
	 * @return the names
	 */
	public Set<ServerName> serverNames() {
		return this.servers.keySet();
	}

}
