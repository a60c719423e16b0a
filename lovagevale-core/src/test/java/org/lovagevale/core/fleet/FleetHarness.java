package org.lovagevale.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.lovagevale.base.ManualClock;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.ReadSettings;
import org.lovagevale.core.decision.RecordAudit;
import org.lovagevale.core.decision.SendToPeer;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.PeerMessageReceived;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.keys.KeyTable;
import org.lovagevale.core.message.Digest;
import org.lovagevale.core.message.MemberEntry;
import org.lovagevale.core.message.PeerMessage;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.core.message.SuspectEntry;
import org.lovagevale.settings.model.Settings;

/**
 * The fleet logic of VM e1, with peers whose messages the test supplies.
 */
final class FleetHarness {

	static final Incarnation INCARNATION = new Incarnation(100, 1);

	final ProcessIdentity self = new ProcessIdentity(new VmName("e1"), INCARNATION);

	final ManualClock clock = new ManualClock(10_000, 1_000_000);

	final KeyTable keys = new KeyTable(this.self, this.clock);

	final List<Decision> decisions = new ArrayList<>();

	final FleetLogic logic = new FleetLogic(this.self, this.clock, new SeededRandom(1), this.keys, this.decisions::add);

	private final Map<String, Long> beats = new TreeMap<>();

	/**
	 * Creates a harness whose process has the given settings in force and has received
	 * digests from the given peers. It serves if these peers satisfy the startup
	 * condition.
	 * @param settings the settings
	 * @param peers names of VMs
	 * @return the harness
	 */
	static FleetHarness withSettings(Settings settings, String... peers) {
		FleetHarness harness = new FleetHarness();
		harness.apply(new Ticked());
		harness.apply(new SettingsReceived(settings, "content", true));
		harness.advance(250);
		harness.receiveDigestsFrom(peers);
		harness.receiveDigestsFrom(peers);
		harness.advance(50);
		return harness;
	}

	void apply(Event event) {
		this.logic.apply(event);
	}

	void advance(long millis) {
		for (long remaining = millis; remaining > 0; remaining -= 50) {
			this.clock.advance(50);
			apply(new Ticked());
		}
	}

	void receiveDigestsFrom(String... peers) {
		for (String peer : peers) {
			receive(peer, digest(peer, 0, -1));
		}
	}

	void receive(String from, PeerMessage message) {
		apply(new PeerMessageReceived(new VmName(from), message));
	}

	Digest digest(String peer, long version, long confirmedAgeMs) {
		return new Digest(List.of(ownEntry(), entry(peer, INCARNATION, MemberPhase.LIVE, false)), version,
				confirmedAgeMs, List.of(), List.of());
	}

	Digest digest(String peer, List<ServerEntry> servers, List<SuspectEntry> suspects) {
		Digest digest = digest(peer, 0, -1);
		return new Digest(digest.members(), 0, -1, servers, suspects);
	}

	MemberEntry entry(String peer, Incarnation incarnation, MemberPhase phase, boolean fenced) {
		long beat = this.beats.merge(peer, 1L, Long::sum);
		return new MemberEntry(peer, incarnation.toString(), beat, phase.name(), 5, fenced);
	}

	MemberEntry ownEntry() {
		return member("e1");
	}

	MemberEntry member(String vm) {
		return this.logic.members().stream().filter((entry) -> entry.vm().equals(vm)).findFirst().orElseThrow();
	}

	<T> List<T> decisions(Class<T> type) {
		return this.decisions.stream().filter(type::isInstance).map(type::cast).toList();
	}

	<T extends PeerMessage> List<T> sent(String to, Class<T> type) {
		return decisions(SendToPeer.class).stream()
			.filter((send) -> send.to().value().equals(to))
			.map(SendToPeer::message)
			.filter(type::isInstance)
			.map(type::cast)
			.toList();
	}

	List<String> auditEvents() {
		return decisions(RecordAudit.class).stream().map((audit) -> audit.entry().event()).toList();
	}

	int settingsReads() {
		return decisions(ReadSettings.class).size();
	}

}
