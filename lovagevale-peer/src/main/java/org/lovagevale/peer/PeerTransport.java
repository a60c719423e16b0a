package org.lovagevale.peer;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.PeerConnected;
import org.lovagevale.core.event.PeerLost;
import org.lovagevale.core.event.PeerMessageReceived;
import org.lovagevale.core.event.PeerRefused;
import org.lovagevale.core.message.Hello;
import org.lovagevale.core.message.PeerMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Maintains the TCP connections, called links, between this process and its peers, and
 * sends messages over them.
 *
 * <p>
 * A link carries messages in both directions, whichever side opened it. Invariant:
 * {@code PeerConnected} is reported for a peer before any of its messages, and
 * {@code PeerLost} after its last link was closed or a link to it could not be opened; a
 * refused connection is reported as {@code PeerRefused} instead. Thread-safe. Events are
 * reported on event loops or, if a peer has no published address, on the thread that
 * requested the link; never while a lock of this class is held.
 */
public final class PeerTransport {

	/** Version of the peer protocol; a link to a peer with another version is closed. */
	public static final int PROTOCOL_VERSION = 1;

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final long RECONNECT_INTERVAL_MS = 500;

	/**
	 * Time without a message sent to the peer after which a link that this process opened
	 * on demand is closed, in milliseconds.
	 */
	private static final long ON_DEMAND_IDLE_TIMEOUT_MS = 30_000;

	private static final int MAX_QUEUED_MESSAGES_PER_PEER = 64;

	/**
	 * Maximum number of open links to one peer. One is enough; some may be dead or have
	 * been opened by both sides at once.
	 */
	private static final int MAX_LINKS_PER_PEER = 8;

	/**
	 * Maximum number of accepted links without a hello message. Peers send theirs at
	 * once.
	 */
	private static final int MAX_UNINTRODUCED_LINKS = 128;

	/**
	 * Maximum number of links from peers, more than there are entry processes. The other
	 * descriptors of the process are for callers and servers.
	 */
	private static final int MAX_ACCEPTED_LINKS = 1_024;

	private static final int MIN_READ_BYTES = 64;

	private static final int INITIAL_READ_BYTES = 2_048;

	private static final int MAX_READ_BYTES = 65_536;

	private static final Logger LOGGER = LoggerFactory.getLogger(PeerTransport.class);

	private final ProcessIdentity self;

	private final Supplier<String> deployment;

	private final Function<VmName, @Nullable InetSocketAddress> addresses;

	private final Consumer<Event> events;

	private final LoopResources loops;

	private final PeerCodec codec = new PeerCodec();

	private final PeerCounterRecorder counters = new PeerCounterRecorder();

	private final PeerLinkListener listener = new LinkEventHandler();

	private final Map<VmName, PeerState> peers = new HashMap<>();

	private final PartialFrames partialFrames = new PartialFrames();

	/** The accepted links, oldest first. Guarded by the lock on {@link #peers}. */
	private final Set<PeerLink> accepted = new LinkedHashSet<>();

	/** The ones without a hello message. Guarded by the lock on {@link #peers}. */
	private final Set<PeerLink> unintroduced = new LinkedHashSet<>();

	private final Disposable maintenanceTimer;

	private Set<VmName> persistentPeers = Set.of();

	private @Nullable DisposableServer server;

	/** The address that this process listens on, {@code null} until it does. */
	private volatile @Nullable String localHost;

	private boolean closed;

	/**
	 * Creates a transport without links, which does not accept any until
	 * {@link #listen(String, int)} is called.
	 * @param self the identity of this process
	 * @param deployment returns the name of the deployment, empty while it is not known
	 * @param addresses returns the published peer address of a VM, or {@code null} if
	 * none is published
	 * @param events receives the events of links and the messages of peers
	 * @param loops provides the event loops of the links
	 */
	public PeerTransport(ProcessIdentity self, Supplier<String> deployment,
			Function<VmName, @Nullable InetSocketAddress> addresses, Consumer<Event> events, LoopResources loops) {
		this.self = self;
		this.deployment = deployment;
		this.addresses = addresses;
		this.events = events;
		this.loops = loops;
		this.maintenanceTimer = Flux.interval(Duration.ofMillis(RECONNECT_INTERVAL_MS))
			.onBackpressureDrop()
			.subscribe((tick) -> maintainLinks());
	}

	/**
	 * Starts accepting links.
	 * @param host the IP address to listen on
	 * @param port the TCP port, 0 for any free one
	 * @throws PeerException if the port cannot be opened
	 */
	public void listen(String host, int port) throws PeerException {
		try {
			this.server = TcpServer.create()
				.runOn(this.loops)
				.host(host)
				.port(port)
				.option(ChannelOption.SO_REUSEADDR, true)
				.childOption(ChannelOption.TCP_NODELAY, true)
				.childOption(ChannelOption.RECVBUF_ALLOCATOR,
						new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
							.maxMessagesPerRead(1))
				.doOnConnection(this::acceptLink)
				.bindNow();
			this.localHost = host;
		}
		catch (RuntimeException ex) {
			throw new PeerException("cannot listen on " + host + ":" + port, ex);
		}
	}

	/**
	 * Returns the port on which links are accepted.
	 * @return the TCP port, or 0 if the transport does not listen
	 */
	public int port() {
		DisposableServer bound = this.server;
		return (bound != null) ? bound.port() : 0;
	}

	/**
	 * Replaces the set of peers to which a link is kept open and reopened after a
	 * failure. Links to other peers are opened on demand.
	 * @param peers the new set of peers
	 */
	public void keepLinks(Set<VmName> peers) {
		synchronized (this.peers) {
			this.persistentPeers = Set.copyOf(peers);
		}
		maintainLinks();
	}

	/**
	 * Sends a message, opening a link if there is none. A message that cannot be sent is
	 * dropped and counted.
	 * @param to the peer
	 * @param message the message
	 */
	public void send(VmName to, PeerMessage message) {
		PeerLink link;
		boolean mustConnect = false;
		synchronized (this.peers) {
			PeerState state = stateOf(to);
			state.lastSendNanos = System.nanoTime();
			link = state.anyLink();
			if (link == null) {
				if (state.queued.size() >= MAX_QUEUED_MESSAGES_PER_PEER) {
					this.counters.countDropped();
					return;
				}
				state.queued.add(message);
				mustConnect = state.beginConnecting();
			}
		}
		if (link != null) {
			link.send(message);
		}
		else if (mustConnect) {
			connect(to);
		}
	}

	/**
	 * Returns the counters of the messages exchanged since the start.
	 * @return a snapshot of the counters
	 */
	public PeerCounters counters() {
		synchronized (this.peers) {
			int links = this.peers.values().stream().mapToInt((state) -> state.links.size()).sum();
			return this.counters.snapshot(links);
		}
	}

	/**
	 * Closes the port and all links.
	 */
	public void close() {
		this.maintenanceTimer.dispose();
		Set<PeerLink> open = new HashSet<>();
		synchronized (this.peers) {
			this.closed = true;
			this.peers.values().forEach((state) -> open.addAll(state.links));
		}
		open.forEach(PeerLink::close);
		DisposableServer bound = this.server;
		if (bound != null) {
			bound.disposeNow();
		}
	}

	private void maintainLinks() {
		Set<VmName> unconnected = new HashSet<>();
		Set<PeerLink> idleLinks = new HashSet<>();
		long now = System.nanoTime();
		synchronized (this.peers) {
			if (this.closed) {
				return;
			}
			for (VmName peer : this.persistentPeers) {
				PeerState state = stateOf(peer);
				if (state.anyLink() == null && state.beginConnecting()) {
					unconnected.add(peer);
				}
			}
			this.peers.forEach((peer, state) -> {
				long idleMs = Duration.ofNanos(now - state.lastSendNanos).toMillis();
				if (!this.persistentPeers.contains(peer) && idleMs > ON_DEMAND_IDLE_TIMEOUT_MS) {
					idleLinks.addAll(state.outbound);
				}
			});
			// Peers choose their names, so what is known of them must not stay for ever.
			this.peers.entrySet()
				.removeIf((entry) -> !this.persistentPeers.contains(entry.getKey()) && entry.getValue().isUnused());
		}
		unconnected.forEach(this::connect);
		idleLinks.forEach(PeerLink::close);
	}

	private void connect(VmName peer) {
		InetSocketAddress address = this.addresses.apply(peer);
		if (address == null || peer.equals(this.self.vm())) {
			connectFailed(peer, new PeerException("peer has no published address", null));
			return;
		}
		String ownHost = this.localHost;
		TcpClient client = TcpClient.newConnection().runOn(this.loops);
		if (ownHost != null) {
			// Peers reject a link from another address than the published one, which the
			// system may choose on a VM with several addresses.
			client = client.bindAddress(() -> new InetSocketAddress(ownHost, 0));
		}
		client.remoteAddress(() -> address)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.doOnConnected((connection) -> openOutboundLink(peer, connection))
			.connect()
			.subscribe((connection) -> {
			}, (error) -> connectFailed(peer, error));
	}

	private void connectFailed(VmName peer, Throwable error) {
		int dropped;
		synchronized (this.peers) {
			PeerState state = stateOf(peer);
			state.connecting = false;
			dropped = state.queued.size();
			state.queued.clear();
		}
		for (int i = 0; i < dropped; i++) {
			this.counters.countDropped();
		}
		LOGGER.debug("event=peer.connect-failed peer={} reason=\"{}\"", peer, error.getMessage());
		boolean refused = error instanceof ConnectException && String.valueOf(error.getMessage()).contains("refused");
		this.events.accept(refused ? new PeerRefused(peer) : new PeerLost(peer));
	}

	private void openOutboundLink(VmName peer, Connection connection) {
		PeerLink link = openLink(connection);
		synchronized (this.peers) {
			stateOf(peer).outbound.add(link);
		}
	}

	private void acceptLink(Connection connection) {
		PeerLink link = openLink(connection);
		PeerLink surplus = null;
		synchronized (this.peers) {
			this.accepted.add(link);
			this.unintroduced.add(link);
			if (this.unintroduced.size() > MAX_UNINTRODUCED_LINKS || this.accepted.size() > MAX_ACCEPTED_LINKS) {
				// Removed at once, since the close takes effect later.
				surplus = this.unintroduced.iterator().next();
				this.unintroduced.remove(surplus);
				this.accepted.remove(surplus);
			}
		}
		if (surplus != null) {
			surplus.close();
		}
	}

	private PeerLink openLink(Connection connection) {
		Channel channel = connection.channel();
		PeerLink link = new PeerLink(channel, this.codec, this.counters, this.partialFrames, this.listener);
		link.open(connection, new Hello(PROTOCOL_VERSION, this.deployment.get(), this.self.vm().value(),
				this.self.incarnation().toString()));
		return link;
	}

	private PeerState stateOf(VmName peer) {
		return this.peers.computeIfAbsent(peer, (name) -> new PeerState());
	}

	private void checkHello(PeerLink link, Hello hello) throws PeerException {
		if (hello.protocol() != PROTOCOL_VERSION) {
			throw new PeerException("peer has protocol version " + hello.protocol() + ", expected " + PROTOCOL_VERSION,
					null);
		}
		String ownDeployment = this.deployment.get();
		if (!ownDeployment.isEmpty() && !hello.deployment().isEmpty() && !ownDeployment.equals(hello.deployment())) {
			throw new PeerException("peer belongs to deployment " + hello.deployment() + ", expected " + ownDeployment,
					null);
		}
		VmName peer = new VmName(hello.vm());
		if (peer.equals(this.self.vm())) {
			throw new PeerException("peer uses the name of this VM", null);
		}
		InetSocketAddress published = this.addresses.apply(peer);
		boolean hasResolvedAddress = published != null && published.getAddress() != null;
		if (hasResolvedAddress && !published.getAddress().equals(link.remoteAddress().getAddress())) {
			throw new PeerException("published address of VM " + peer + " differs from the remote address of the link",
					null);
		}
	}

	/**
	 * The open links to one peer and the messages queued until the first link is open.
	 * Guarded by the lock on {@link #peers}.
	 */
	private static final class PeerState {

		private final Set<PeerLink> links = new HashSet<>();

		/** The links opened by this process, including those without a hello message. */
		private final Set<PeerLink> outbound = new HashSet<>();

		private final ArrayDeque<PeerMessage> queued = new ArrayDeque<>();

		private long lastSendNanos = System.nanoTime();

		private boolean connecting;

		private @Nullable PeerLink anyLink() {
			return this.links.isEmpty() ? null : this.links.iterator().next();
		}

		private boolean isUnused() {
			return this.links.isEmpty() && this.outbound.isEmpty() && this.queued.isEmpty() && !this.connecting;
		}

		private boolean beginConnecting() {
			boolean begin = !this.connecting;
			this.connecting = true;
			return begin;
		}

	}

	/**
	 * Updates the state of the peers when links open and close, and reports the events.
	 */
	private final class LinkEventHandler implements PeerLinkListener {

		@Override
		public void helloReceived(PeerLink link, Hello hello) throws PeerException {
			checkHello(link, hello);
			Incarnation incarnation = parseIncarnation(hello);
			VmName peer = new VmName(hello.vm());
			ArrayDeque<PeerMessage> queued;
			synchronized (PeerTransport.this.peers) {
				PeerState state = stateOf(peer);
				if (state.links.size() >= MAX_LINKS_PER_PEER) {
					throw new PeerException("peer " + peer + " has " + MAX_LINKS_PER_PEER + " links", null);
				}
				PeerTransport.this.unintroduced.remove(link);
				state.links.add(link);
				state.connecting = false;
				queued = new ArrayDeque<>(state.queued);
				state.queued.clear();
			}
			PeerTransport.this.events.accept(new PeerConnected(peer, incarnation));
			queued.forEach(link::send);
		}

		@Override
		public void messageReceived(PeerLink link, PeerMessage message) {
			VmName peer = link.peer();
			if (peer != null) {
				PeerTransport.this.events.accept(new PeerMessageReceived(peer, message));
			}
		}

		@Override
		public void linkClosed(PeerLink link) {
			VmName lostPeer = null;
			VmName unreachedPeer = null;
			synchronized (PeerTransport.this.peers) {
				PeerTransport.this.accepted.remove(link);
				PeerTransport.this.unintroduced.remove(link);
				for (Map.Entry<VmName, PeerState> entry : PeerTransport.this.peers.entrySet()) {
					PeerState state = entry.getValue();
					boolean wasOutbound = state.outbound.remove(link);
					boolean wasOpen = state.links.remove(link);
					if (wasOutbound && !wasOpen) {
						unreachedPeer = entry.getKey();
					}
					if (wasOpen && state.links.isEmpty()) {
						lostPeer = entry.getKey();
					}
				}
			}
			if (unreachedPeer != null) {
				connectFailed(unreachedPeer, new PeerException("link was closed before the hello message", null));
			}
			if (lostPeer != null) {
				PeerTransport.this.events.accept(new PeerLost(lostPeer));
			}
		}

		private Incarnation parseIncarnation(Hello hello) throws PeerException {
			try {
				return Incarnation.parse(hello.incarnation());
			}
			catch (IllegalArgumentException ex) {
				throw new PeerException(ex.getMessage() + " in hello message", ex);
			}
		}

	}

}
