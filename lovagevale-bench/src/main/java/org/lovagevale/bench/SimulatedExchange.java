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
 * The exchange of a whole fleet in memory: the real fleet logic and codec, a network that
 * delivers everything one step later and a platform that always answers.
 *
 * <p>
 * Each message is encoded and decoded once, so that the processor time of the calling
 * thread has everything but the sockets. Not thread-safe.
 */
final class SimulatedExchange {

	static final long STEP_MS = 25;

	// An entry process ticks every 50 ms.
	private static final int STEPS_PER_TICK = 2;

	// Spreads the digests of the VMs evenly over the digest interval of 250 ms.
	private static final int START_STEPS = 10;

	// The length prefix of a frame.
	private static final int FRAME_BYTES = 4;

	// Observations older than this are no longer passed on.
	private static final int KEPT_SECONDS = 60;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final ManualClock clock = new ManualClock(100_000, 1_000_000_000);

	private final PeerCodec codec = new PeerCodec();

	private final SplittableRandom random = new SplittableRandom(20261204);

	private final Map<VmName, SimulatedEntry> entries = new LinkedHashMap<>();

	private final SimulatedEntry[] list;

	private final Set<Set<VmName>> links = new HashSet<>();

	private final Map<Integer, Integer> boots = new HashMap<>();

	private final ControlTree tree;

	private final int changesPerSecond;

	private final String content;

	private Settings latest;

	private double changesDue;

	private long step;

	private ExchangeTotals totals = new ExchangeTotals(0, 0, 0, 0, 0);

	SimulatedExchange(ControlTree tree, int changesPerSecond) {
		this.tree = tree;
		this.changesPerSecond = changesPerSecond;
		this.content = tree.content();
		this.latest = tree.settings(1);
		for (String vm : tree.vmNames()) {
			SimulatedEntry entry = new SimulatedEntry(vm, this.clock, this.random.nextLong());
			this.entries.put(entry.vm(), entry);
		}
		this.list = this.entries.values().toArray(new SimulatedEntry[0]);
		fillReports();
	}

	ExchangeTotals totals() {
		return this.totals;
	}

	/**
	 * Lets time pass.
	 * @param millis the time in milliseconds
	 * @throws PeerException if a message cannot be encoded
	 */
	void run(long millis) throws PeerException {
		for (long i = 0; i < millis / STEP_MS; i++) {
			runStep();
		}
	}

	/**
	 * Publishes the tree again and waits until it is in force everywhere.
	 * @param limitMs the longest wait in milliseconds
	 * @return the time in milliseconds, the limit if it was reached
	 * @throws PeerException if a message cannot be encoded
	 */
	long publish(long limitMs) throws PeerException {
		this.latest = this.tree.settings(this.latest.version() + 1);
		long start = this.clock.millis();
		while (!isInForce() && this.clock.millis() - start < limitMs) {
			runStep();
		}
		return this.clock.millis() - start;
	}

	/**
	 * Tells whether every process may take new work.
	 * @return {@code true} if all may
	 */
	boolean isOpen() {
		for (SimulatedEntry entry : this.list) {
			if (entry.logic().permission() != WorkPermission.OPEN) {
				return false;
			}
		}
		return true;
	}

	private boolean isInForce() {
		for (SimulatedEntry entry : this.list) {
			Settings settings = entry.logic().settings();
			if (settings == null || settings.version() != this.latest.version()) {
				return false;
			}
		}
		return true;
	}

	// In the steady state every process knows all changes of the last minute, which the
	// simulation is too short to reach from nothing.
	private void fillReports() {
		Set<Integer> changed = new HashSet<>();
		for (int i = 0; i < this.changesPerSecond * KEPT_SECONDS; i++) {
			changed.add(this.random.nextInt(this.tree.servers()));
		}
		for (int server : changed) {
			ServerName name = new ServerName(ControlTree.serverName(server));
			for (SimulatedEntry entry : this.list) {
				entry.logic().recordState(name, ServerState.WARM, "boot0");
			}
		}
	}

	private void runStep() throws PeerException {
		this.step++;
		this.clock.advance(STEP_MS);
		change();
		for (int i = 0; i < this.list.length; i++) {
			answerRead(this.list[i]);
		}
		Map<SimulatedEntry, List<Event>> arrived = new LinkedHashMap<>();
		for (SimulatedEntry entry : this.list) {
			arrived.put(entry, entry.takeArrived());
		}
		for (int i = 0; i < this.list.length; i++) {
			SimulatedEntry entry = this.list[i];
			arrived.getOrDefault(entry, List.of()).forEach(entry.logic()::apply);
			if (this.step > i % START_STEPS && (this.step + i) % STEPS_PER_TICK == 0) {
				entry.logic().apply(new Ticked());
			}
			for (Decision decision : entry.takeDecisions()) {
				execute(entry, decision);
			}
		}
	}

	// Each change is observed by one process and reaches the others by the exchange.
	private void change() {
		this.changesDue += this.changesPerSecond * STEP_MS / MILLIS_PER_SECOND;
		while (this.changesDue >= 1) {
			this.changesDue--;
			int server = this.random.nextInt(this.tree.servers());
			int boot = this.boots.merge(server, 1, Integer::sum);
			ServerState state = (boot % 2 == 0) ? ServerState.WARM : ServerState.COLD;
			SimulatedEntry entry = this.list[this.random.nextInt(this.list.length)];
			entry.logic().recordState(new ServerName(ControlTree.serverName(server)), state, "boot" + boot / 2);
		}
	}

	private void answerRead(SimulatedEntry entry) {
		if (!entry.reading) {
			return;
		}
		if (entry.readVersion < this.latest.version()) {
			entry.reading = false;
			entry.arrive(new SettingsReceived(this.latest, this.content, true));
		}
		else if (this.clock.millis() >= entry.readUntil) {
			entry.reading = false;
			entry.arrive(new SettingsConfirmed(entry.readVersion));
		}
	}

	private void execute(SimulatedEntry entry, Decision decision) throws PeerException {
		switch (decision) {
			case KeepLinks keep -> keepLinks(entry, keep.peers());
			case ReadSettings read -> {
				entry.reading = true;
				entry.readVersion = read.afterVersion();
				entry.readUntil = this.clock.millis() + read.waitMs();
				this.totals = this.totals.plusRead();
			}
			case ReadVmList read -> {
				entry.arrive(new VmListReceived(Set.of(), Set.copyOf(this.tree.vmNames())));
				this.totals = this.totals.plusRead();
			}
			case SendToPeer send -> send(entry, send);
			default -> {
			}
		}
	}

	private void keepLinks(SimulatedEntry entry, Set<VmName> peers) {
		Set<VmName> before = entry.wanted;
		entry.wanted = peers;
		for (VmName peer : peers) {
			SimulatedEntry other = this.entries.get(peer);
			if (other != null && this.links.add(Set.of(entry.vm(), peer))) {
				entry.arrive(new PeerConnected(peer, other.self().incarnation()));
				other.arrive(new PeerConnected(entry.vm(), entry.self().incarnation()));
			}
		}
		for (VmName peer : before) {
			SimulatedEntry other = this.entries.get(peer);
			if (other == null || peers.contains(peer) || other.wanted.contains(entry.vm())) {
				continue;
			}
			if (this.links.remove(Set.of(entry.vm(), peer))) {
				entry.arrive(new PeerLost(peer));
				other.arrive(new PeerLost(entry.vm()));
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
		this.totals = this.totals.plusMessage(received instanceof Digest, bytes.length + FRAME_BYTES);
		// The sent message is delivered, since its texts are shared by all processes and
		// thus need less memory.
		to.arrive(new PeerMessageReceived(from.vm(), send.message()));
		if (send.message() instanceof SettingsBody body && body.version() == this.latest.version()) {
			to.arrive(new SettingsReceived(this.latest, this.content, false));
		}
	}

}
