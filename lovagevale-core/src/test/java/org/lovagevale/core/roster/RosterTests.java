package org.lovagevale.core.roster;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

class RosterTests {

	private static final ServiceName SERVICE = new ServiceName("balances");

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private Roster roster;

	@BeforeEach
	void create() {
		this.roster = new Roster(this.clock, member("vm-0", "west", 1, 1, RosterPhase.STARTING));
		this.roster.enterPhase(RosterPhase.SERVING);
	}

	private static RosterMember member(String vm, String region, long start, long beat, RosterPhase phase) {
		return new RosterMember(new VmName(vm), "10.0.0.1", 1, 2, new FailureDomain(region + "-1"), new Region(region),
				100, new Incarnation(start, 0), beat, phase);
	}

	private void receiveHeartbeat(String vm, long beat) {
		this.roster.recordHeartbeat(member(vm, "west", 1, beat, RosterPhase.SERVING));
	}

	@Test
	void membersOfOtherRegionsGetNoDuties() {
		this.roster.recordHeartbeat(member("vm-9", "east", 1, 1, RosterPhase.SERVING));
		assertThat(this.roster.alive()).hasSize(1);
		assertThat(this.roster.dispatcher(SERVICE).vm()).hasToString("vm-0");
	}

	@Test
	void processesAgreeOnTheDispatcher() {
		receiveHeartbeat("vm-1", 1);
		receiveHeartbeat("vm-2", 1);
		Roster other = new Roster(this.clock, member("vm-1", "west", 1, 1, RosterPhase.SERVING));
		other.recordHeartbeat(member("vm-0", "west", 1, 5, RosterPhase.SERVING));
		other.recordHeartbeat(member("vm-2", "west", 1, 5, RosterPhase.SERVING));
		for (String service : List.of("a", "b", "c", "d", "e")) {
			assertThat(this.roster.dispatcher(new ServiceName(service)).vm())
				.isEqualTo(other.dispatcher(new ServiceName(service)).vm());
		}
	}

	@Test
	void memberKnownOnlyFromOthersIsNotAlive() {
		this.roster.addKnown(member("vm-1", "west", 1, 7, RosterPhase.SERVING));
		assertThat(this.roster.alive()).hasSize(1);
		assertThat(this.roster.known()).hasSize(1);
		receiveHeartbeat("vm-1", 1);
		assertThat(this.roster.alive()).hasSize(2);
	}

	@Test
	void memberWithoutRecentHeartbeatIsNotAlive() {
		receiveHeartbeat("vm-1", 1);
		this.clock.advance(Roster.HEARTBEAT_TIMEOUT_MS);
		assertThat(this.roster.alive()).hasSize(1);
	}

	@Test
	void memberWithLostConnectionIsNotAliveUntilItsNextHeartbeat() {
		receiveHeartbeat("vm-1", 1);
		this.roster.recordConnectionLost(new VmName("vm-1"));
		assertThat(this.roster.alive()).hasSize(1);
		receiveHeartbeat("vm-1", 2);
		assertThat(this.roster.alive()).hasSize(2);
	}

	@Test
	void leavingMemberHasNoDuties() {
		this.roster.recordHeartbeat(member("vm-1", "west", 1, 1, RosterPhase.LEAVING));
		assertThat(this.roster.serving()).hasSize(1);
	}

	@Test
	void restartedMemberReplacesItsFormerRun() {
		receiveHeartbeat("vm-1", 9);
		RosterMember former = this.roster.recordHeartbeat(member("vm-1", "west", 2, 1, RosterPhase.STARTING));
		assertThat(former).isNotNull();
		assertThat(this.roster.recordHeartbeat(member("vm-1", "west", 1, 10, RosterPhase.SERVING))).isNull();
		assertThat(this.roster.find(new VmName("vm-1")).phase()).isEqualTo(RosterPhase.STARTING);
	}

	@Test
	void exclusiveDutiesWaitUntilTheFormerOwnerHasStopped() {
		receiveHeartbeat("vm-1", 1);
		assertThat(this.roster.isSettledMajority()).isFalse();
		this.clock.advance(Roster.SETTLED_MS - 400);
		receiveHeartbeat("vm-1", 2);
		assertThat(this.roster.isSettledMajority()).isFalse();
		this.clock.advance(400);
		receiveHeartbeat("vm-1", 3);
		assertThat(this.roster.isSettledMajority()).isTrue();
	}

	@Test
	void processThatSeesAMinorityOfMembersHasNoMajority() {
		for (int i = 1; i <= 3; i++) {
			receiveHeartbeat("vm-" + i, 1);
		}
		this.clock.advance(Roster.HEARTBEAT_TIMEOUT_MS + Roster.SETTLED_MS);
		assertThat(this.roster.isSettledMajority()).isFalse();
		this.clock.advance(Roster.MAJORITY_WINDOW_MS);
		this.roster.isSettledMajority();
		assertThat(this.roster.isSettledMajority()).isTrue();
	}

	@Test
	void dutiesAreAssignedToVmsWithHighestCapacity() {
		for (int i = 1; i <= 9; i++) {
			this.roster
				.recordHeartbeat(new RosterMember(new VmName("big-" + i), "10.0.0.1", 1, 2, new FailureDomain("west-1"),
						new Region("west"), 150, new Incarnation(1, 0), 1, RosterPhase.SERVING));
		}
		assertThat(this.roster.hubs()).hasSize(Roster.MAX_HUBS).allMatch((hub) -> hub.capacity() == 150);
		assertThat(this.roster.dispatcher(SERVICE).capacity()).isEqualTo(150);
		assertThat(this.roster.readerRank()).isGreaterThanOrEqualTo(Roster.MAX_HUBS);
	}

	@Test
	void memberListedByHubIsAliveUntilNoLongerListed() {
		this.roster.addKnown(member("vm-1", "west", 1, 7, RosterPhase.STARTING));
		assertThat(this.roster.recordHubSummary(Set.of(new VmName("vm-1")))).isFalse();
		assertThat(this.roster.serving()).hasSize(2);
		this.clock.advance(Roster.SUMMARY_TIMEOUT_MS);
		assertThat(this.roster.serving()).hasSize(1);
		this.roster.recordHubSummary(Set.of(new VmName("vm-1")));
		this.roster.recordHubSummary(Set.of());
		assertThat(this.roster.serving()).hasSize(1);
	}

	@Test
	void unknownMemberInSummaryIsReported() {
		assertThat(this.roster.recordHubSummary(Set.of(new VmName("vm-7")))).isTrue();
	}

	@Test
	void heartbeatsGoToHubsAndToMembersThatSendThem() {
		for (int i = 1; i <= 9; i++) {
			this.roster.addKnown(member("vm-" + i, "west", 1, 1, RosterPhase.SERVING));
		}
		assertThat(this.roster.heartbeatTargets()).hasSize(Roster.MAX_HUBS);
		for (int i = 1; i <= 9; i++) {
			receiveHeartbeat("vm-" + i, 1);
		}
		assertThat(this.roster.heartbeatTargets()).hasSize(9);
	}

	@Test
	void hubGetsOneHeartbeat() {
		receiveHeartbeat("vm-1", 1);
		this.roster.hubs();
		receiveHeartbeat("vm-1", 2);
		assertThat(this.roster.heartbeatTargets()).hasSize(1);
	}

	@Test
	void dutiesChangeAsSoonAsTheirOwnerIsNoLongerAlive() {
		for (int i = 1; i <= 9; i++) {
			receiveHeartbeat("vm-" + i, 1);
		}
		VmName owner = this.roster.dispatcher(SERVICE).vm();
		this.clock.advance(Roster.HEARTBEAT_TIMEOUT_MS / 2);
		for (int i = 1; i <= 9; i++) {
			if (!owner.equals(new VmName("vm-" + i))) {
				receiveHeartbeat("vm-" + i, 2);
			}
		}
		this.clock.advance(Roster.HEARTBEAT_TIMEOUT_MS / 2 - 1);
		assertThat(this.roster.dispatcher(SERVICE).vm()).isEqualTo(owner);
		this.clock.advance(1);
		assertThat(this.roster.dispatcher(SERVICE).vm()).isNotEqualTo(owner);
	}

	@Test
	void memberKnownOnlyFromOthersCountsForMajoritiesAtOnce() {
		this.clock.advance(Roster.SETTLED_MS);
		assertThat(this.roster.isSettledMajority()).isTrue();
		this.roster.addKnown(member("vm-1", "west", 1, 7, RosterPhase.SERVING));
		assertThat(this.roster.isSettledMajority()).isFalse();
	}

}
