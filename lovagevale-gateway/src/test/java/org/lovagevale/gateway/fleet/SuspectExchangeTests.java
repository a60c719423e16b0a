package org.lovagevale.gateway.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.message.CrashStrikeEntry;
import org.lovagevale.core.message.CrashSuspectEntry;
import org.lovagevale.core.message.RegionMessage;
import org.lovagevale.core.message.RosterList;
import org.lovagevale.core.placing.CrashSuspects;
import org.lovagevale.core.placing.PlacingLimits;
import org.lovagevale.core.placing.ServerAnnouncements;
import org.lovagevale.core.placing.ServerQuota;
import org.lovagevale.core.placing.SlotDispatcher;
import org.lovagevale.core.placing.SlotId;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.core.placing.SuspectReports;
import org.lovagevale.core.placing.TrialOrder;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;
import org.lovagevale.gateway.GatewayMetrics;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against strikes that other processes are not told of, and against messages
 * without end between them.
 */
class SuspectExchangeTests {

	private static final Region WEST = new Region("west");

	private static final Region EAST = new Region("east");

	private static final VmName SELF = new VmName("vm-a");

	private static final VmName NEIGHBOUR = new VmName("vm-b");

	private static final VmName REMOTE = new VmName("vm-e");

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final Map<VmName, List<CrashSuspectEntry>> sent = new HashMap<>();

	private final CrashSuspects suspects = new CrashSuspects(TrialOrder.ONLY_REGION, Set.of(), 10_000);

	private final SlotDispatcher dispatcher;

	private final SuspectExchange exchange;

	SuspectExchangeTests() {
		Roster roster = new Roster(this.clock, member(SELF, WEST));
		roster.recordHeartbeat(member(NEIGHBOUR, WEST));
		RemoteContacts contacts = new RemoteContacts(this.clock, SELF, WEST);
		contacts.update(member(REMOTE, EAST));
		this.dispatcher = new SlotDispatcher(this.clock, new SeededRandom(1), WEST,
				new PlacingLimits(0.2, 10_000, 62, 3, 1.5, 5), (service) -> true, ServerQuota.UNLIMITED,
				new ServerAnnouncements(this.clock), this.suspects,
				new SlotClient(this.clock, roster, this::record,
						(receiver) -> new SlotDispatcher(this.clock, new SeededRandom(1), WEST,
								new PlacingLimits(0.2, 10_000, 62, 3, 1.5, 5), (service) -> true,
								new ServerAnnouncements(this.clock), receiver)));
		this.exchange = new SuspectExchange(this.clock, roster, contacts, this::record, this.dispatcher,
				new GatewayMetrics());
	}

	private static RosterMember member(VmName vm, Region region) {
		return new RosterMember(vm, "127.0.0.1", 1, 2, new FailureDomain(region + "-1"), region, 100,
				new Incarnation(1, 1), 1, RosterPhase.SERVING);
	}

	private void record(VmName to, RegionMessage message) {
		this.sent.computeIfAbsent(to, (vm) -> new ArrayList<>()).addAll(((RosterList) message).suspects());
	}

	private static CrashSuspectEntry entry(long fingerprint) {
		return new CrashSuspectEntry(fingerprint, List.of(new CrashStrikeEntry("vm-x", 1, 0, false)));
	}

	@Test
	void nothingIsSentWithoutSuspects() {
		this.exchange.tick();
		assertThat(this.sent).isEmpty();
	}

	@Test
	void ownStrikeIsSentOnceToTheRegionAndToOtherRegions() {
		this.suspects.recordOutcome(7, new SlotId(SELF, 1), SlotOutcome.LOST, this.clock.millis());
		for (int i = 0; i < 5; i++) {
			this.exchange.tick();
			this.clock.advance(100);
		}
		assertThat(this.sent).containsOnlyKeys(NEIGHBOUR, REMOTE);
		assertThat(this.sent.get(NEIGHBOUR)).hasSize(1);
		assertThat(this.sent.get(REMOTE)).hasSize(1);
	}

	@Test
	void strikeOfAnotherRegionIsPassedOnToTheOwnRegion() {
		this.suspects.recordOutcome(7, new SlotId(SELF, 1), SlotOutcome.LOST, this.clock.millis());
		this.exchange.tick();
		this.sent.clear();
		this.exchange.handle(REMOTE, List.of(entry(8)));
		this.exchange.tick();
		assertThat(this.sent).containsOnlyKeys(NEIGHBOUR);
		this.exchange.handle(NEIGHBOUR, List.of(entry(9)));
		this.exchange.tick();
		assertThat(this.sent.get(NEIGHBOUR)).extracting(CrashSuspectEntry::fingerprint).containsExactly(8L);
	}

	@Test
	void allSuspectsAreSentAgainAfterTheConnectionWasLost() {
		this.suspects.recordOutcome(7, new SlotId(SELF, 1), SlotOutcome.LOST, this.clock.millis());
		this.exchange.handle(NEIGHBOUR, List.of(entry(9)));
		this.exchange.tick();
		this.sent.clear();
		this.dispatcher.suspectReports().forget(NEIGHBOUR);
		this.exchange.tick();
		assertThat(this.sent.get(NEIGHBOUR)).extracting(CrashSuspectEntry::fingerprint)
			.containsExactlyInAnyOrder(7L, 9L);
		assertThat(this.sent).doesNotContainKey(REMOTE);
	}

	@Test
	void messageWithTooManySuspectsIsRejected() {
		List<CrashSuspectEntry> entries = Collections.nCopies(SuspectReports.MAX_SUSPECTS + 1, entry(7));
		assertThatThrownBy(() -> this.exchange.handle(NEIGHBOUR, entries)).isInstanceOf(IllegalArgumentException.class);
		assertThat(this.suspects.size()).isZero();
	}

}
