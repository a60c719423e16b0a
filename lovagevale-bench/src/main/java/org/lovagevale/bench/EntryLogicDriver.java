package org.lovagevale.bench;

import java.util.ArrayList;
import java.util.List;

import org.lovagevale.base.ManualClock;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.VmName;
import org.lovagevale.core.EntryLogic;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.Probe;
import org.lovagevale.core.decision.ReadSettings;
import org.lovagevale.core.event.AnswerEnded;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.PeerConnected;
import org.lovagevale.core.event.PeerMessageReceived;
import org.lovagevale.core.event.PeerRefused;
import org.lovagevale.core.event.PrefixArrived;
import org.lovagevale.core.event.ProbeEnded;
import org.lovagevale.core.event.SettingsConfirmed;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.message.Digest;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.settings.model.Settings;

/**
 * Drives the production logic of one entry process whose backend servers are all warm.
 *
 * <p>
 * One simulated peer sends the states of the servers in its digests. All other peers
 * refuse connections, so that the process does not wait for them before it starts. Not
 * thread-safe.
 */
final class EntryLogicDriver {

	private static final long TICK_MS = 50;

	// A digest every 5 s keeps the server states current, because a state received from a
	// peer expires after 15 s.
	private static final int TICKS_PER_DIGEST = 100;

	private static final int START_TICKS = 40;

	private static final String BOOT_ID = "boot1";

	private static final LoadReport LOAD_REPORT = new LoadReport(1, 3, ServerState.WARM, BOOT_ID);

	private static final Incarnation INCARNATION = new Incarnation(1_000, 1);

	private static final ProcessIdentity SELF = new ProcessIdentity(new VmName(ControlTree.vmName(0)), INCARNATION);

	private static final VmName PEER = new VmName(ControlTree.vmName(1));

	private final ManualClock clock = new ManualClock(100_000, 1_000_000_000);

	private final EntryLogic logic = new EntryLogic(SELF, this.clock, new SeededRandom(20261204));

	private final List<Event> pendingResponses = new ArrayList<>();

	private final List<ServerEntry> serverEntries = new ArrayList<>();

	private long tickCount;

	private long dispatchCount;

	private long tickNanos;

	EntryLogicDriver(ControlTree tree, Settings settings, String content) {
		for (int i = 0; i < tree.servers(); i++) {
			this.serverEntries.add(new ServerEntry(ControlTree.serverName(i), ServerState.WARM.name(), BOOT_ID, 0));
		}
		this.logic.apply(new Ticked());
		this.logic.apply(new SettingsReceived(settings, content, true));
		for (int i = 2; i < tree.entries(); i++) {
			this.logic.apply(new PeerRefused(new VmName(ControlTree.vmName(i))));
		}
		this.logic.apply(new PeerConnected(PEER, INCARNATION));
		for (int i = 0; i < START_TICKS; i++) {
			tick();
		}
		receiveDigest();
		for (int i = 0; i < START_TICKS; i++) {
			tick();
		}
	}

	EntryLogic logic() {
		return this.logic;
	}

	long tickNanos() {
		return this.tickNanos;
	}

	long dispatchCount() {
		return this.dispatchCount;
	}

	void advance(long millis) {
		this.clock.advance(millis);
	}

	/**
	 * Runs one tick. Settings reads and probes that it starts are completed before the
	 * next tick.
	 */
	void tick() {
		this.clock.advance(TICK_MS);
		this.pendingResponses.forEach(this.logic::apply);
		this.pendingResponses.clear();
		if (++this.tickCount % TICKS_PER_DIGEST == 0) {
			receiveDigest();
		}
		long start = System.nanoTime();
		List<Decision> decisions = this.logic.apply(new Ticked());
		this.tickNanos += System.nanoTime() - start;
		decisions.forEach(this::respond);
	}

	/**
	 * Processes one request, from its head to the end of the response.
	 * @param id the id of the request
	 * @param path the path of the request
	 */
	void processRequest(long id, String path) {
		RequestId request = new RequestId(id);
		this.logic
			.apply(new HeadArrived(request, new RequestHead("GET", path, "", null, null, 0, false, 0, "127.0.0.1")));
		List<Decision> decisions = this.logic.apply(new PrefixArrived(request, new Fingerprint("f" + id)));
		for (Decision decision : decisions) {
			if (decision instanceof Dispatch) {
				this.dispatchCount++;
			}
		}
		this.logic.apply(new AnswerHeadArrived(request, 1, 200, false, LOAD_REPORT));
		this.logic.apply(new AnswerEnded(request, 1, null));
	}

	private void receiveDigest() {
		List<MemberEntry> members = new ArrayList<>();
		members.add(new MemberEntry(PEER.value(), INCARNATION.toString(), this.tickCount + 1, "LIVE", 0, false));
		this.logic.status()
			.members()
			.stream()
			.filter((member) -> member.vm().equals(SELF.vm().value()))
			.forEach(members::add);
		this.logic.apply(new PeerMessageReceived(PEER, new Digest(members, 1, 0, this.serverEntries, List.of())));
	}

	private void respond(Decision decision) {
		switch (decision) {
			case ReadSettings read -> this.pendingResponses.add(new SettingsConfirmed(read.afterVersion()));
			case Probe probe -> this.pendingResponses.add(new ProbeEnded(probe.server().name(), LOAD_REPORT));
			default -> {
			}
		}
	}

}
