package org.lovagevale.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.lovagevale.base.VmName;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.KeepLinks;
import org.lovagevale.core.decision.ReadSettings;
import org.lovagevale.core.decision.ReadVmList;
import org.lovagevale.core.decision.SendToPeer;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.PeerConnected;
import org.lovagevale.core.event.PeerLost;
import org.lovagevale.core.event.PeerMessageReceived;
import org.lovagevale.core.event.PeerRefused;
import org.lovagevale.core.event.SettingsConfirmed;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.core.event.SettingsUnavailable;
import org.lovagevale.core.event.VmListReceived;
import org.lovagevale.core.message.SettingsBody;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.Settings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A simulated fleet that checks the invariants after each step. It consists of several
 * instances of the fleet logic, a network that loses, delays, reorders and duplicates
 * messages and may be partitioned, and a platform that publishes settings versions and
 * may be unreachable.
 */
final class SimulatedFleet {

	private static final long FENCE_MS = 2_500;

	private static final long FAULTS_UNTIL_MS = 60_000;

	private static final long RECOVERY_MS = 25_000;

	private static final List<BackendServer> SERVERS = List.of(TestSettings.server("west"),
			TestSettings.server("east"));

	private static final String[] VMS = { "west/a/e1", "west/b/e2", "east/a/e3", "east/b/e4", "east/b/e5" };

	// Includes VMs without a process, which change the owners of servers and the
	// majority.
	private static final String[] EXTENDED_VMS = { "west/a/e1", "west/b/e2", "east/a/e3", "east/b/e4", "east/b/e5",
			"west/a/x1", "east/a/x2" };

	private final long stepMs;

	private final long faultsUntil;

	private final SplittableRandom random;

	private final Map<VmName, SimulatedNode> nodes = new TreeMap<>();

	private final PriorityQueue<SimulatedNode.Delivery> network = new PriorityQueue<>(
			Comparator.comparingLong(SimulatedNode.Delivery::at));

	private final List<PendingRead> pendingReads = new ArrayList<>();

	private final Set<Set<VmName>> links = new HashSet<>();

	private final TreeMap<Long, Settings> versionsByTime = new TreeMap<>();

	private final Map<String, OwnedPeriod> ownedPeriods = new HashMap<>();

	private Map<VmName, Integer> partitionsByVm = new HashMap<>();

	private boolean platformDown;

	private long now = 1_000;

	long ownedChecks;

	long fencedChecks;

	int settingsReads;

	long sentBytes;

	private SimulatedFleet(long seed, long stepMs, long faultsUntil, String... vms) {
		this.random = new SplittableRandom(seed);
		this.stepMs = stepMs;
		this.faultsUntil = faultsUntil;
		this.versionsByTime.put(Long.MIN_VALUE, TestSettings.settings(7, vms));
		for (String vm : vms) {
			start(TestSettings.vm(vm).name().value());
		}
	}

	static SimulatedFleet faultFree(long seed, String... vms) {
		return new SimulatedFleet(seed, 10, 0, vms);
	}

	static SimulatedFleet faulty(long seed) {
		SimulatedFleet fleet = new SimulatedFleet(seed, 50, FAULTS_UNTIL_MS, VMS);
		fleet.scheduleVersions();
		return fleet;
	}

	private void scheduleVersions() {
		long secondVersionAt = 15_000 + this.random.nextInt(20_000);
		this.versionsByTime.put(secondVersionAt, TestSettings.settings(8, EXTENDED_VMS));
		this.versionsByTime.put(secondVersionAt + this.random.nextInt(25_000), TestSettings.settings(9, VMS));
	}

	void runUntilRecovered() {
		run(FAULTS_UNTIL_MS + RECOVERY_MS);
		for (SimulatedNode node : this.nodes.values()) {
			assertThat(node.version).as("version of %s after the faults ended", node.vm()).isEqualTo(9);
			assertThat(node.logic.permission()).as("permission of %s", node.vm()).isEqualTo(WorkPermission.OPEN);
		}
	}

	void run(long until) {
		while (this.now < until) {
			this.now += this.stepMs;
			this.nodes.values().forEach((node) -> node.clock.advance(this.stepMs));
			if (this.now < this.faultsUntil) {
				injectFault();
			}
			else {
				endFaults();
			}
			connect();
			deliver();
			answerReads();
			runNodes();
		}
	}

	Collection<SimulatedNode> nodes() {
		return this.nodes.values();
	}

	private void start(String vm) {
		long offset = this.random.nextInt(251) - 125;
		SimulatedNode node = new SimulatedNode(vm, this.now, offset, this.random.nextLong());
		this.nodes.put(node.vm(), node);
		this.pendingReads.removeIf((read) -> read.node().vm().equals(node.vm()));
		for (Set<VmName> link : List.copyOf(this.links)) {
			if (link.contains(node.vm())) {
				closeLink(link);
			}
		}
	}

	private void injectFault() {
		if (!isOneIn(40)) {
			return;
		}
		SimulatedNode node = new ArrayList<>(this.nodes.values()).get(this.random.nextInt(this.nodes.size()));
		switch (this.random.nextInt(6)) {
			case 0 -> node.pausedUntil = this.now + this.random.nextInt(12_000);
			case 1 -> start(node.vm().value());
			case 2 -> this.nodes.keySet().forEach((vm) -> this.partitionsByVm.put(vm, this.random.nextInt(2)));
			case 3 -> this.partitionsByVm = new HashMap<>();
			case 4 -> this.platformDown = this.random.nextInt(3) > 0;
			default -> this.links.stream().findAny().ifPresent(this::closeLink);
		}
	}

	private void endFaults() {
		this.partitionsByVm = new HashMap<>();
		this.platformDown = false;
		this.nodes.values().forEach((node) -> node.pausedUntil = Math.min(node.pausedUntil, this.now));
	}

	private boolean isPartitioned(VmName one, VmName other) {
		return !this.partitionsByVm.getOrDefault(one, 0).equals(this.partitionsByVm.getOrDefault(other, 0));
	}

	private void connect() {
		for (SimulatedNode node : this.nodes.values()) {
			for (VmName peer : node.wantedPeers) {
				SimulatedNode other = this.nodes.get(peer);
				if (other == null) {
					if (isOneIn(20)) {
						schedule(node, new PeerRefused(peer), 1);
					}
				}
				else if (!isPartitioned(node.vm(), peer) && isOneIn(10) && this.links.add(Set.of(node.vm(), peer))) {
					schedule(node, new PeerConnected(peer, other.self.incarnation()), 1);
					schedule(other, new PeerConnected(node.vm(), node.self.incarnation()), 1);
				}
			}
		}
		List.copyOf(this.links).stream().filter((link) -> isPartitioned(link) && isOneIn(40)).forEach(this::closeLink);
	}

	private boolean isPartitioned(Set<VmName> link) {
		return link.stream().map((vm) -> this.partitionsByVm.getOrDefault(vm, 0)).distinct().count() > 1;
	}

	private void closeLink(Set<VmName> link) {
		this.links.remove(link);
		for (VmName end : link) {
			link.stream()
				.filter((peer) -> !peer.equals(end))
				.forEach((peer) -> schedule(this.nodes.get(end), new PeerLost(peer), 1));
		}
	}

	private void schedule(SimulatedNode node, Event event, long delay) {
		this.network.add(new SimulatedNode.Delivery(this.now + delay, this.now, node, event));
	}

	private void deliver() {
		while (!this.network.isEmpty() && this.network.peek().at() <= this.now) {
			SimulatedNode.Delivery delivery = this.network.poll();
			delivery.to().inbox.add(delivery);
		}
	}

	private void runNodes() {
		for (SimulatedNode node : List.copyOf(this.nodes.values())) {
			if (!node.isPaused(this.now)) {
				checkPermission(node);
				node.run().forEach((decision) -> execute(node, decision));
				check(node);
			}
		}
	}

	private void execute(SimulatedNode node, Decision decision) {
		switch (decision) {
			case KeepLinks keep -> node.wantedPeers = keep.peers();
			case ReadSettings read -> {
				assertThat(this.pendingReads).as("one read at a time").noneMatch((pending) -> pending.node() == node);
				this.settingsReads++;
				this.pendingReads.add(new PendingRead(node, read.afterVersion(), this.now + read.waitMs()));
			}
			case ReadVmList read -> schedule(node, new VmListReceived(Set.of(), vmNames()), 500);
			case SendToPeer send -> send(node, send);
			default -> {
			}
		}
	}

	private Set<String> vmNames() {
		return this.nodes.keySet().stream().map(VmName::value).collect(Collectors.toSet());
	}

	private void send(SimulatedNode from, SendToPeer send) {
		SimulatedNode to = this.nodes.get(send.to());
		boolean isFaulty = this.now < this.faultsUntil;
		this.sentBytes += MessageSize.of(send.message());
		if (to == null || isPartitioned(from.vm(), send.to()) || (isFaulty && isOneIn(10))) {
			return;
		}
		int copies = (isFaulty && isOneIn(10)) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			long delay = 1 + this.random.nextInt(isFaulty ? (isOneIn(20) ? 8_000 : 400) : 30);
			schedule(to, new PeerMessageReceived(from.vm(), send.message()), delay);
			if (send.message() instanceof SettingsBody body) {
				Settings settings = version(body.version());
				schedule(to, new SettingsReceived(settings, body.content(), false), delay + 1);
			}
		}
	}

	private Settings version(long version) {
		return this.versionsByTime.values()
			.stream()
			.filter((settings) -> settings.version() == version)
			.findFirst()
			.orElseThrow();
	}

	private Settings latestAt(long time) {
		return this.versionsByTime.floorEntry(time).getValue();
	}

	private void answerReads() {
		for (PendingRead read : List.copyOf(this.pendingReads)) {
			Settings latest = latestAt(this.now);
			if (this.platformDown) {
				answer(read, new SettingsUnavailable("down"));
			}
			else if (latest.version() > read.after()) {
				answer(read, new SettingsReceived(latest, "v" + latest.version(), true));
			}
			else if (this.now >= read.until()) {
				answer(read, new SettingsConfirmed(read.after()));
			}
		}
	}

	private void answer(PendingRead read, Event event) {
		this.pendingReads.remove(read);
		schedule(read.node(), event, 1 + this.random.nextInt(100));
	}

	private void check(SimulatedNode node) {
		checkVersion(node);
		checkPermission(node);
		for (BackendServer server : SERVERS) {
			checkOwner(node, server);
		}
	}

	private void checkVersion(SimulatedNode node) {
		Settings settings = node.logic.settings();
		long version = (settings != null) ? settings.version() : 0;
		assertThat(version).as("version of %s", node.vm()).isGreaterThanOrEqualTo(node.version);
		node.version = version;
		long ageMs = node.logic.confirmedAgeMs();
		if (ageMs >= 0) {
			assertThat(latestAt(this.now - ageMs).version()).as("confirmed version of %s", node.vm())
				.isLessThanOrEqualTo(version);
		}
	}

	// A node that permits work must have received a message that was written within the
	// fencing time.
	private void checkPermission(SimulatedNode node) {
		if (node.logic.permission() == WorkPermission.OPEN) {
			assertThat(this.now - node.newestWrittenAt)
				.as("age of the newest message received by %s, which permits work", node.vm())
				.isLessThanOrEqualTo(FENCE_MS);
		}
		else if (node.logic.permission() == WorkPermission.FENCED) {
			this.fencedChecks++;
		}
	}

	private void checkOwner(SimulatedNode node, BackendServer server) {
		long ownedMs = node.logic.ownedForMs(server);
		if (ownedMs == 0) {
			return;
		}
		this.ownedChecks++;
		OwnedPeriod last = this.ownedPeriods.get(server.name().value());
		boolean isFree = last == null || last.node() == node || last.until() <= this.now;
		assertThat(isFree).as("%s owned by %s and %s", server.name(), node.vm(), last).isTrue();
		this.ownedPeriods.put(server.name().value(), new OwnedPeriod(node, this.now + ownedMs));
	}

	private boolean isOneIn(int count) {
		return this.random.nextInt(count) == 0;
	}

	/**
	 * A pending read of the settings service.
	 *
	 * @param node the process
	 * @param after the settings version that the process has
	 * @param until when the service answers even without a newer version
	 */
	private record PendingRead(SimulatedNode node, long after, long until) {

	}

	/**
	 * A period in which a process owns a server.
	 *
	 * @param node the process
	 * @param until when the period ends, as the process was told
	 */
	private record OwnedPeriod(SimulatedNode node, long until) {

	}

}
