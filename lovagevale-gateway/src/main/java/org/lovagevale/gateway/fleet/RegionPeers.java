package org.lovagevale.gateway.fleet;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.PeerConnected;
import org.lovagevale.core.event.PeerLost;
import org.lovagevale.core.event.PeerMessageReceived;
import org.lovagevale.core.event.PeerRefused;
import org.lovagevale.core.message.AccountAsk;
import org.lovagevale.core.message.AccountDemand;
import org.lovagevale.core.message.AccountGrant;
import org.lovagevale.core.message.CatalogNews;
import org.lovagevale.core.message.CatalogRequest;
import org.lovagevale.core.message.PeerMessage;
import org.lovagevale.core.message.RegionLoad;
import org.lovagevale.core.message.RegionMessage;
import org.lovagevale.core.message.RosterBeat;
import org.lovagevale.core.message.RosterEntry;
import org.lovagevale.core.message.RosterList;
import org.lovagevale.core.message.RosterRequest;
import org.lovagevale.core.message.RosterSummary;
import org.lovagevale.core.message.ServerLeaving;
import org.lovagevale.core.message.SlotAsk;
import org.lovagevale.core.message.SlotCancelled;
import org.lovagevale.core.message.SlotGranted;
import org.lovagevale.core.message.SlotOffered;
import org.lovagevale.core.message.SlotQueued;
import org.lovagevale.core.message.SlotRefused;
import org.lovagevale.core.message.SlotReturned;
import org.lovagevale.core.placing.SlotId;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;
import org.lovagevale.gateway.GatewayException;
import org.lovagevale.gateway.HostPort;
import org.lovagevale.peer.PeerException;
import org.lovagevale.peer.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.netty.resources.LoopResources;

/**
 * Discovers the other entry processes and exchanges messages with them.
 *
 * <p>
 * A process sends a heartbeat to its seeds, which reply with the processes that they
 * know. From then on it exchanges heartbeats with the hubs of its region; {@link Roster}
 * explains what hubs do. Connections to other processes have the event loop of the
 * callers, so that a message which arrives before a request is handled before it. Not
 * thread-safe; after {@link #listen}, all methods must be called on the event loop.
 */
public final class RegionPeers implements RegionMessageSender {

	/** Interval between two heartbeats of a process that joins, in milliseconds. */
	public static final long HEARTBEAT_INTERVAL_MS = 400;

	/**
	 * Interval between two heartbeats of other processes, in milliseconds. A member
	 * counts as alive for more than two of them.
	 */
	private static final long SETTLED_HEARTBEAT_INTERVAL_MS = 600;

	/** Time from which a serving process has joined, in milliseconds. */
	private static final long JOINING_MS = 5_000;

	/** Interval between two summaries of the first hub, in milliseconds. */
	private static final long SUMMARY_INTERVAL_MS = 1_000;

	/**
	 * Time that the first hub must have been serving before it sends summaries, in
	 * milliseconds. By then it has received a heartbeat of each other process.
	 */
	private static final long MIN_SERVING_BEFORE_SUMMARY_MS = 2 * HEARTBEAT_INTERVAL_MS;

	/**
	 * Interval at which seeds are contacted again, because the processes that they know
	 * may have changed, in milliseconds.
	 */
	private static final long SEED_INTERVAL_MS = 4_000;

	/**
	 * Interval at which seeds are contacted while no other process of the region is
	 * alive, in milliseconds.
	 */
	private static final long ISOLATED_SEED_INTERVAL_MS = 400;

	/**
	 * Interval at which seeds are contacted while no entry VM of another region is
	 * usable, in milliseconds.
	 */
	private static final long NO_CONTACT_SEED_INTERVAL_MS = 1_000;

	/** Maximum number of members in a sample, which keeps messages small. */
	private static final int MAX_SAMPLED_MEMBERS = RemoteContacts.MAX_PER_REGION;

	/** Maximum number of senders whose last heartbeat is remembered. */
	private static final int MAX_REMEMBERED_SENDERS = 1_000;

	/**
	 * Maximum number of processes that are known from lists of others, more than there
	 * are in a region.
	 */
	static final int MAX_LISTED_MEMBERS = 1_000;

	/** Maximum number of addresses before those that are not used are removed. */
	private static final int MAX_ADDRESSES = 4_000;

	private static final Logger LOGGER = LoggerFactory.getLogger(RegionPeers.class);

	private final EventLoop loop;

	private final Clock clock;

	private final Roster roster;

	private final RemoteContacts contacts;

	private final RandomSource random;

	private final PeerTransport transport;

	/** Also read by the threads of the transport. */
	private final Map<VmName, InetSocketAddress> addresses = new ConcurrentHashMap<>();

	/** The last heartbeat of each sender that differed from the previous one. */
	private final Map<String, RosterEntry> heartbeats = new HashMap<>();

	/** The members that these heartbeats describe. */
	private final Map<String, RosterMember> senders = new HashMap<>();

	private List<HostPort> seeds = List.of();

	private @Nullable SlotClient slotClient;

	private @Nullable CatalogUpdater catalogUpdater;

	private @Nullable AccountLimitClient limitClient;

	private BiConsumer<VmName, RegionLoad> regionLoadHandler = (from, load) -> {
	};

	/** {@link Long#MIN_VALUE} if the seeds are to be contacted at the next tick. */
	private long lastSeedContactAt = Long.MIN_VALUE;

	private long lastHeartbeatAt = Long.MIN_VALUE;

	/**
	 * Far in the past if a summary is to be sent at the next tick. Such a time can be
	 * subtracted from any time without overflow.
	 */
	private long lastSummaryAt = Long.MIN_VALUE / 2;

	/** {@link Long#MAX_VALUE} while this process is not serving. */
	private long servingSince = Long.MAX_VALUE;

	private Set<VmName> loggedAlive = Set.of();

	/**
	 * Creates an instance without connections.
	 * @param loop the event loop on which messages are processed
	 * @param loops provides that event loop for the connections to other processes
	 * @param clock the source of the current time
	 * @param roster the known entry processes of the region
	 * @param contacts the known entry VMs of other regions
	 * @param random selects samples of members and receivers
	 * @param seeds the peer addresses that are contacted to discover other processes
	 */
	public RegionPeers(EventLoop loop, LoopResources loops, Clock clock, Roster roster, RemoteContacts contacts,
			RandomSource random, List<HostPort> seeds) {
		this.loop = loop;
		this.clock = clock;
		this.roster = roster;
		this.contacts = contacts;
		this.random = random;
		ProcessIdentity self = new ProcessIdentity(roster.self().vm(), roster.self().incarnation());
		this.transport = new PeerTransport(self, () -> "", this.addresses::get, this::enqueue, loops);
		setSeeds(seeds);
	}

	/**
	 * Returns the name by which entry processes identify the VM with the given address.
	 * @param host the IP address of the VM
	 * @return the name of the VM
	 */
	public static VmName vmNameOf(String host) {
		return new VmName("vm-" + host.replace('.', '-').replace(':', '-'));
	}

	/**
	 * Sets the handlers of received messages. Messages received before this call are
	 * ignored.
	 * @param slotClient handles messages about slots
	 * @param updater handles messages about the catalog
	 * @param limits handles messages about client accounts
	 */
	public void setMessageHandlers(SlotClient slotClient, CatalogUpdater updater, AccountLimitClient limits) {
		this.slotClient = slotClient;
		this.catalogUpdater = updater;
		this.limitClient = limits;
	}

	/**
	 * Sets the handler of reports about the capacity of other regions.
	 * @param handler receives the sender and the report
	 */
	public void onRegionLoad(BiConsumer<VmName, RegionLoad> handler) {
		this.regionLoadHandler = handler;
	}

	/**
	 * Starts accepting connections of other entry processes.
	 * @param address the address to listen on
	 * @throws GatewayException if the address cannot be bound
	 */
	public void listen(HostPort address) throws GatewayException {
		try {
			this.transport.listen(address.host(), address.port());
		}
		catch (PeerException ex) {
			throw new GatewayException("cannot listen for connections of peers on " + address, ex);
		}
	}

	/**
	 * Replaces the seeds; the new ones are contacted at the next tick.
	 * @param newSeeds the new seeds
	 */
	public void setSeeds(List<HostPort> newSeeds) {
		this.seeds = List.copyOf(newSeeds);
		newSeeds.forEach((seed) -> recordAddress(seed.host(), seed.port()));
		this.lastSeedContactAt = Long.MIN_VALUE;
	}

	private void recordAddress(String host, int port) {
		if (this.addresses.size() >= MAX_ADDRESSES && !this.addresses.containsKey(vmNameOf(host))) {
			removeUnusedAddresses();
		}
		this.addresses.put(vmNameOf(host), new InetSocketAddress(host, port));
	}

	private void removeUnusedAddresses() {
		Set<VmName> used = new HashSet<>();
		this.roster.known().forEach((member) -> used.add(member.vm()));
		this.contacts.usable().forEach((member) -> used.add(member.vm()));
		this.seeds.forEach((seed) -> used.add(vmNameOf(seed.host())));
		this.addresses.keySet().retainAll(used);
	}

	@Override
	public void send(VmName to, RegionMessage message) {
		this.transport.send(to, message);
	}

	/**
	 * Performs the periodic work that is due: sends heartbeats and summaries, and
	 * contacts seeds.
	 */
	public void tick() {
		long now = this.clock.millis();
		if (this.lastHeartbeatAt == Long.MIN_VALUE || now - this.lastHeartbeatAt >= heartbeatIntervalMs(now)) {
			this.lastHeartbeatAt = now;
			sendHeartbeat();
			logIfRosterChanged();
		}
		if (this.lastSeedContactAt == Long.MIN_VALUE || now - this.lastSeedContactAt >= seedIntervalMs()) {
			this.lastSeedContactAt = now;
			contactSeeds();
			sendRemoteContacts();
		}
		sendSummaryIfDue(now);
	}

	private long heartbeatIntervalMs(long now) {
		boolean recentlyStarted = this.servingSince == Long.MAX_VALUE || now - this.servingSince < JOINING_MS;
		return recentlyStarted ? HEARTBEAT_INTERVAL_MS : SETTLED_HEARTBEAT_INTERVAL_MS;
	}

	private long seedIntervalMs() {
		if (this.roster.alive().size() <= 1) {
			return ISOLATED_SEED_INTERVAL_MS;
		}
		return this.contacts.usable().isEmpty() ? NO_CONTACT_SEED_INTERVAL_MS : SEED_INTERVAL_MS;
	}

	// The seeds of a process may no longer run, so processes also send the entry VMs of
	// other regions that they know to a random process of their region.
	private void sendRemoteContacts() {
		List<RosterEntry> known = this.contacts.usable().stream().map(RegionPeers::toEntry).toList();
		List<RosterMember> others = this.roster.alive()
			.stream()
			.filter((member) -> !member.vm().equals(this.roster.self().vm()))
			.toList();
		if (!known.isEmpty() && !others.isEmpty()) {
			this.transport.send(others.get(this.random.nextInt(others.size())).vm(), new RosterList(known));
		}
	}

	/**
	 * Sends a heartbeat with the current phase of this process immediately.
	 */
	public void sendHeartbeat() {
		RosterBeat beat = nextBeat();
		Set<VmName> maintained = new HashSet<>();
		for (RosterMember member : this.roster.heartbeatTargets()) {
			// One connection between two processes is enough. The VM with the lower name
			// maintains it, the other one only while its peer is not alive.
			boolean maintains = this.roster.self().vm().compareTo(member.vm()) < 0;
			if (maintains || !this.roster.isAlive(member.vm())) {
				maintained.add(member.vm());
			}
			this.transport.send(member.vm(), beat);
		}
		this.transport.keepLinks(maintained);
	}

	private RosterBeat nextBeat() {
		return new RosterBeat(toEntry(this.roster.nextBeat()), this.clock.millis());
	}

	// Processes other than hubs receive heartbeats of hubs only, so the first hub sends
	// them the names of the serving VMs.
	private void sendSummaryIfDue(long now) {
		boolean isServing = this.roster.self().phase() == RosterPhase.SERVING;
		this.servingSince = isServing ? Math.min(this.servingSince, now) : Long.MAX_VALUE;
		List<RosterMember> hubs = this.roster.hubs();
		boolean isFirstHub = !hubs.isEmpty() && hubs.getFirst().vm().equals(this.roster.self().vm());
		if (!isFirstHub || now - this.servingSince < MIN_SERVING_BEFORE_SUMMARY_MS
				|| now - this.lastSummaryAt < SUMMARY_INTERVAL_MS) {
			return;
		}
		this.lastSummaryAt = now;
		List<RosterMember> serving = this.roster.serving();
		RosterSummary summary = new RosterSummary(serving.stream().map((member) -> member.vm().value()).toList());
		for (RosterMember member : this.roster.alive()) {
			if (hubs.stream().noneMatch((hub) -> hub.vm().equals(member.vm()))) {
				this.transport.send(member.vm(), summary);
			}
		}
	}

	private void handleSummary(VmName from, RosterSummary summary) {
		Set<VmName> serving = new HashSet<>();
		summary.vms().forEach((vm) -> serving.add(new VmName(vm)));
		if (this.roster.recordHubSummary(serving)) {
			this.transport.send(from, new RosterRequest(this.roster.known().size()));
		}
		logIfRosterChanged();
	}

	private void handleRosterRequest(VmName from) {
		this.transport.send(from, new RosterList(this.roster.alive().stream().map(RegionPeers::toEntry).toList()));
	}

	private void contactSeeds() {
		RosterBeat beat = nextBeat();
		for (HostPort seed : this.seeds) {
			VmName vm = vmNameOf(seed.host());
			if (!vm.equals(this.roster.self().vm()) && !this.roster.isAlive(vm)) {
				this.transport.send(vm, beat);
			}
		}
	}

	private void logIfRosterChanged() {
		Set<VmName> alive = new HashSet<>();
		this.roster.alive().forEach((member) -> alive.add(member.vm()));
		if (!alive.equals(this.loggedAlive)) {
			LOGGER.info("{}",
					LogLine.event("roster.changed")
						.with("alive", alive.size())
						.with("joined", difference(alive, this.loggedAlive))
						.with("left", difference(this.loggedAlive, alive)));
			this.loggedAlive = alive;
		}
	}

	private static Set<VmName> difference(Set<VmName> all, Set<VmName> excluded) {
		Set<VmName> difference = new HashSet<>(all);
		difference.removeAll(excluded);
		return difference;
	}

	private void enqueue(Event event) {
		this.loop.execute(() -> handleEvent(event));
	}

	private void handleEvent(Event event) {
		switch (event) {
			case PeerConnected connected -> this.transport.send(connected.peer(), nextBeat());
			case PeerLost lost -> handleConnectionLost(lost.peer());
			case PeerRefused refused -> handleConnectionLost(refused.peer());
			case PeerMessageReceived received -> handleMessage(received.from(), received.message());
			default -> throw new IllegalStateException("unexpected event from the peer transport: " + event);
		}
	}

	private void handleConnectionLost(VmName vm) {
		this.roster.recordConnectionLost(vm);
		logIfRosterChanged();
		SlotClient client = this.slotClient;
		if (client != null) {
			client.handleConnectionLost(vm);
		}
		CatalogUpdater updater = this.catalogUpdater;
		if (updater != null) {
			updater.handleConnectionLost(vm);
		}
		AccountLimitClient limits = this.limitClient;
		if (limits != null) {
			limits.handleConnectionLost(vm);
		}
	}

	private void handleMessage(VmName from, PeerMessage message) {
		SlotClient client = this.slotClient;
		CatalogUpdater updater = this.catalogUpdater;
		AccountLimitClient limits = this.limitClient;
		if (client == null || updater == null || limits == null || !(message instanceof RegionMessage regionMessage)) {
			return;
		}
		try {
			switch (regionMessage) {
				case RosterBeat beat -> {
					handleHeartbeat(from, beat);
					updater.recordDelay(from, beat.sentAtMs());
				}
				case RosterList list -> list.entries().forEach(this::handleRosterEntry);
				case RosterSummary summary -> handleSummary(from, summary);
				case RosterRequest request -> handleRosterRequest(from);
				case CatalogNews news -> updater.handleNews(from, news);
				case CatalogRequest request -> updater.handleRequest(from, request);
				case SlotAsk ask -> client.handleRequest(from, ask);
				case SlotGranted granted -> client.handleGrant(from, granted);
				case SlotQueued queued -> client.handleQueued(from, queued);
				case SlotRefused refused -> client.handleRefusal(from, refused);
				case SlotCancelled cancelled -> client.dispatcher().cancel(new SlotId(from, cancelled.number()));
				case SlotReturned returned -> client.handleRelease(from, returned);
				case SlotOffered offered -> client.handleOffer(from, offered);
				case ServerLeaving leaving -> client.handleServerLeaving(from, leaving);
				case AccountAsk ask -> limits.handleAsk(from, ask);
				case AccountGrant grant -> limits.handleGrant(from, grant);
				case AccountDemand demand -> limits.handleDemand(from, demand);
				case RegionLoad load -> this.regionLoadHandler.accept(from, load);
			}
		}
		catch (IllegalArgumentException ex) {
			LOGGER.warn("{}",
					LogLine.event("peer.message-invalid")
						.with("vm", from)
						.with("type", regionMessage.getClass().getSimpleName())
						.with("reason", String.valueOf(ex.getMessage())));
		}
	}

	private void handleRosterEntry(RosterEntry entry) {
		RosterMember member = toMember(entry);
		if (!member.region().equals(this.roster.self().region())) {
			this.contacts.update(member);
			// Messages are sent to contacts that have not sent any themselves.
			if (this.contacts.find(member.vm()) != null) {
				recordAddress(member.host(), member.peerPort());
			}
			return;
		}
		if (this.roster.find(member.vm()) == null && this.roster.known().size() >= MAX_LISTED_MEMBERS) {
			return;
		}
		recordAddress(member.host(), member.peerPort());
		this.roster.addKnown(member);
	}

	// Most heartbeats differ from the previous one only in their counter, so the rest is
	// converted once.
	private RosterMember sender(RosterBeat beat) {
		RosterEntry entry = beat.self();
		RosterEntry previous = this.heartbeats.get(entry.vm());
		RosterMember known = this.senders.get(entry.vm());
		if (previous != null && known != null && entry.equalsExceptBeat(previous)) {
			return known.withBeat(entry.beat(), known.phase());
		}
		RosterMember member = toMember(entry);
		recordAddress(member.host(), member.peerPort());
		if (this.heartbeats.size() >= MAX_REMEMBERED_SENDERS) {
			this.heartbeats.clear();
			this.senders.clear();
		}
		this.heartbeats.put(entry.vm(), entry);
		this.senders.put(entry.vm(), member);
		return member;
	}

	private void handleHeartbeat(VmName from, RosterBeat beat) {
		RosterMember member = sender(beat);
		if (!member.vm().equals(from)) {
			throw new IllegalArgumentException("heartbeat of " + member.vm() + " was sent by " + from);
		}
		boolean wasKnown = this.roster.find(from) != null;
		RosterMember previousRun = this.roster.recordHeartbeat(member);
		SlotClient client = this.slotClient;
		if (previousRun != null && client != null) {
			client.dispatcher().removeVm(from);
		}
		boolean isRemote = !member.region().equals(this.roster.self().region());
		if (isRemote) {
			this.contacts.update(member);
		}
		boolean isNew = !wasKnown || previousRun != null;
		if (isNew || isRemote) {
			sendKnownMembers(member, isNew, isRemote);
		}
		if (!isRemote && member.phase() == RosterPhase.LEAVING) {
			// Makes the next summary due, which tells the others that this member stops
			// serving.
			this.lastSummaryAt = Long.MIN_VALUE / 2;
		}
	}

	private void sendKnownMembers(RosterMember receiver, boolean isNew, boolean isRemote) {
		List<RosterMember> sameRegion = this.roster.known()
			.stream()
			.filter((member) -> member.region().equals(receiver.region()) && !member.vm().equals(receiver.vm()))
			.toList();
		List<RosterMember> listed = new ArrayList<>(isNew ? sameRegion : sample(sameRegion));
		listed.addAll(isRemote ? sample(this.roster.serving()) : this.contacts.usable());
		if (!listed.isEmpty()) {
			this.transport.send(receiver.vm(), new RosterList(listed.stream().map(RegionPeers::toEntry).toList()));
		}
	}

	// Returns successive members from a random position on.
	private List<RosterMember> sample(List<RosterMember> members) {
		int offset = members.isEmpty() ? 0 : this.random.nextInt(members.size());
		List<RosterMember> sampled = new ArrayList<>();
		for (int i = 0; i < Math.min(MAX_SAMPLED_MEMBERS, members.size()); i++) {
			sampled.add(members.get((offset + i) % members.size()));
		}
		return sampled;
	}

	/**
	 * Stops accepting connections and closes the open ones.
	 */
	public void close() {
		this.transport.close();
	}

	private static RosterEntry toEntry(RosterMember member) {
		return new RosterEntry(member.vm().value(), member.host(), member.peerPort(), member.callerPort(),
				member.domain().value(), member.region().value(), member.capacity(), member.incarnation().toString(),
				member.beat(), member.phase().name());
	}

	private static RosterMember toMember(RosterEntry entry) {
		// The lookup of a name would block the event loop.
		if (!NetUtil.isValidIpV4Address(entry.host()) && !NetUtil.isValidIpV6Address(entry.host())) {
			throw new IllegalArgumentException("host of " + entry.vm() + " is not an IP address");
		}
		return new RosterMember(new VmName(entry.vm()), entry.host(), entry.peerPort(), entry.callerPort(),
				new FailureDomain(entry.domain()), new Region(entry.region()), entry.capacity(),
				Incarnation.parse(entry.incarnation()), entry.beat(), RosterPhase.valueOf(entry.phase()));
	}

}
