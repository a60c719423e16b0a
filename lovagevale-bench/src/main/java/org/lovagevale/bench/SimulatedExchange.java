package org.lovagevale.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.lovagevale.base.ManualClock;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.KeepLinks;
import org.lovagevale.core.decision.ReadSettings;
import org.lovagevale.core.decision.ReadVmList;
import org.lovagevale.core.decision.SendToPeer;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.PeerConnected;
import org.lovagevale.core.event.PeerLost;
import org.lovagevale.core.event.PeerMessageReceived;
import org.lovagevale.core.event.SettingsConfirmed;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.event.VmListReceived;
import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.core.message.Digest;
import org.lovagevale.core.message.PeerMessage;
import org.lovagevale.core.message.SettingsBody;
import org.lovagevale.peer.PeerCodec;
import org.lovagevale.peer.PeerException;
import org.lovagevale.settings.model.Settings;

/**
 * Simulates the peer exchange of a whole fleet in memory. The fleet logic and the codec
 * are those of production, the simulated network delivers each message one step later,
 * and the simulated platform responds to every read.
 *
 * <p>
 * Each message is encoded and decoded once, so that the processor time of the calling
 * thread includes all costs except those of the sockets. Not thread-safe.
 */
final class SimulatedExchange {

	static final long STEP_MS = 25;

	// An entry process ticks every 50 ms.
	private static final int STEPS_PER_TICK = 2;

	// The entry processes start one after another over this many steps, which spreads
	// their digests evenly over the digest interval of 250 ms.
	private static final int START_SPREAD_STEPS = 10;

	// Each frame begins with a length prefix of this size.
	private static final int LENGTH_PREFIX_BYTES = 4;

	// Observations older than this are no longer sent to peers.
	private static final int OBSERVATION_RETENTION_SECONDS = 60;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final ManualClock clock = new ManualClock(100_000, 1_000_000_000);

	private final PeerCodec codec = new PeerCodec();

	private final SplittableRandom random = new SplittableRandom(20261204);

	private final Map<VmName, SimulatedEntry> entries = new LinkedHashMap<>();

	private final SimulatedEntry[] entriesByIndex;

	private final Set<Set<VmName>> links = new HashSet<>();

	private final Map<Integer, Integer> stateChangeCounts = new HashMap<>();

	private final ControlTree tree;

	private final int stateChangesPerSecond;

	private final String content;

	private Settings latestSettings;

	private double pendingStateChanges;

	private long step;

	private ExchangeTotals totals = new ExchangeTotals(0, 0, 0, 0, 0);

	SimulatedExchange(ControlTree tree, int stateChangesPerSecond) {
		this.tree = tree;
		this.stateChangesPerSecond = stateChangesPerSecond;
		this.content = tree.content();
		this.latestSettings = tree.settings(1);
		for (String vm : tree.vmNames()) {
			SimulatedEntry entry = new SimulatedEntry(vm, this.clock, this.random.nextLong());
			this.entries.put(entry.vm(), entry);
		}
		this.entriesByIndex = this.entries.values().toArray(new SimulatedEntry[0]);
		recordRecentStates();
	}

	ExchangeTotals totals() {
		return this.totals;
	}

	/**
	 * Advances the simulated time.
	 * @param millis the duration in milliseconds, rounded down to whole steps
	 * @throws PeerException if a message cannot be encoded
	 */
	void run(long millis) throws PeerException {
		for (long i = 0; i < millis / STEP_MS; i++) {
			runStep();
		}
	}

	/**
	 * Publishes the settings tree as a new version and runs the simulation until the
	 * version is in force in all entry processes.
	 * @param timeoutMs the timeout in milliseconds of simulated time
	 * @return the elapsed simulated time in milliseconds, at least the timeout if it
	 * expired
	 * @throws PeerException if a message cannot be encoded
	 */
	long publish(long timeoutMs) throws PeerException {
		this.latestSettings = this.tree.settings(this.latestSettings.version() + 1);
		long start = this.clock.millis();
		while (!isLatestSettingsInForce() && this.clock.millis() - start < timeoutMs) {
			runStep();
		}
		return this.clock.millis() - start;
	}

	/**
	 * Tells whether all entry processes may accept new work.
	 * @return {@code true} if all of them may
	 */
	boolean isOpen() {
		for (SimulatedEntry entry : this.entriesByIndex) {
			if (entry.logic().permission() != WorkPermission.OPEN) {
				return false;
			}
		}
		return true;
	}

	private boolean isLatestSettingsInForce() {
		for (SimulatedEntry entry : this.entriesByIndex) {
			Settings settings = entry.logic().settings();
			if (settings == null || settings.version() != this.latestSettings.version()) {
				return false;
			}
		}
		return true;
	}

	// In the steady state every process knows all state changes of the last minute. The
	// simulation is too short to reach this state if it starts without any.
	private void recordRecentStates() {
		Set<Integer> changed = new HashSet<>();
		for (int i = 0; i < this.stateChangesPerSecond * OBSERVATION_RETENTION_SECONDS; i++) {
			changed.add(this.random.nextInt(this.tree.servers()));
		}
		for (int server : changed) {
			ServerName name = new ServerName(ControlTree.serverName(server));
			for (SimulatedEntry entry : this.entriesByIndex) {
				entry.logic().recordState(name, ServerState.WARM, "boot0");
			}
		}
	}

	private void runStep() throws PeerException {
		this.step++;
		this.clock.advance(STEP_MS);
		applyStateChanges();
		for (int i = 0; i < this.entriesByIndex.length; i++) {
			respondToSettingsRead(this.entriesByIndex[i]);
		}
		// Takes the events of all processes before any process runs, so that messages
		// sent in this step arrive in the next one.
		Map<SimulatedEntry, List<Event>> events = new LinkedHashMap<>();
		for (SimulatedEntry entry : this.entriesByIndex) {
			events.put(entry, entry.drainEvents());
		}
		for (int i = 0; i < this.entriesByIndex.length; i++) {
			SimulatedEntry entry = this.entriesByIndex[i];
			events.getOrDefault(entry, List.of()).forEach(entry.logic()::apply);
			if (this.step > i % START_SPREAD_STEPS && (this.step + i) % STEPS_PER_TICK == 0) {
				entry.logic().apply(new Ticked());
			}
			for (Decision decision : entry.drainDecisions()) {
				execute(entry, decision);
			}
		}
	}

	// Each state change is observed by one process and reaches the others through the
	// peer exchange.
	private void applyStateChanges() {
		this.pendingStateChanges += this.stateChangesPerSecond * STEP_MS / MILLIS_PER_SECOND;
		while (this.pendingStateChanges >= 1) {
			this.pendingStateChanges--;
			int server = this.random.nextInt(this.tree.servers());
			int changeCount = this.stateChangeCounts.merge(server, 1, Integer::sum);
			ServerState state = (changeCount % 2 == 0) ? ServerState.WARM : ServerState.COLD;
			SimulatedEntry entry = this.entriesByIndex[this.random.nextInt(this.entriesByIndex.length)];
			entry.logic().recordState(new ServerName(ControlTree.serverName(server)), state, "boot" + changeCount / 2);
		}
	}

	private void respondToSettingsRead(SimulatedEntry entry) {
		if (!entry.settingsReadPending) {
			return;
		}
		if (entry.knownVersion < this.latestSettings.version()) {
			entry.settingsReadPending = false;
			entry.enqueue(new SettingsReceived(this.latestSettings, this.content, true));
		}
		else if (this.clock.millis() >= entry.readDeadlineMs) {
			entry.settingsReadPending = false;
			entry.enqueue(new SettingsConfirmed(entry.knownVersion));
		}
	}

	private void execute(SimulatedEntry entry, Decision decision) throws PeerException {
		switch (decision) {
			case KeepLinks keep -> keepLinks(entry, keep.peers());
			case ReadSettings read -> {
				entry.settingsReadPending = true;
				entry.knownVersion = read.afterVersion();
				entry.readDeadlineMs = this.clock.millis() + read.waitMs();
				this.totals = this.totals.plusRead();
			}
			case ReadVmList read -> {
				entry.enqueue(new VmListReceived(Set.of(), Set.copyOf(this.tree.vmNames())));
				this.totals = this.totals.plusRead();
			}
			case SendToPeer send -> send(entry, send);
			default -> {
			}
		}
	}

	private void keepLinks(SimulatedEntry entry, Set<VmName> peers) {
		Set<VmName> previousPeers = entry.wantedPeers;
		entry.wantedPeers = peers;
		for (VmName peer : peers) {
			SimulatedEntry other = this.entries.get(peer);
			if (other != null && this.links.add(Set.of(entry.vm(), peer))) {
				entry.enqueue(new PeerConnected(peer, other.self().incarnation()));
				other.enqueue(new PeerConnected(entry.vm(), entry.self().incarnation()));
			}
		}
		for (VmName peer : previousPeers) {
			SimulatedEntry other = this.entries.get(peer);
			if (other == null || peers.contains(peer) || other.wantedPeers.contains(entry.vm())) {
				continue;
			}
			if (this.links.remove(Set.of(entry.vm(), peer))) {
				entry.enqueue(new PeerLost(peer));
				other.enqueue(new PeerLost(entry.vm()));
			}
		}
	}

	private void send(SimulatedEntry from, SendToPeer send) throws PeerException {
		SimulatedEntry to = this.entries.get(send.to());
		if (to == null) {
			return;
		}
		byte[] bytes = this.codec.encode(send.message());
		PeerMessage received = this.codec.decode(bytes);
		this.totals = this.totals.plusMessage(received instanceof Digest, bytes.length + LENGTH_PREFIX_BYTES);
		// Delivers the original message rather than the decoded copy: all processes share
		// its strings, which saves memory.
		to.enqueue(new PeerMessageReceived(from.vm(), send.message()));
		if (send.message() instanceof SettingsBody body && body.version() == this.latestSettings.version()) {
			to.enqueue(new SettingsReceived(this.latestSettings, this.content, false));
		}
	}

}
