package org.lovagevale.core.fleet;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.decision.AnswerOutcome;
import org.lovagevale.core.decision.Exit;
import org.lovagevale.core.decision.StopAccepting;
import org.lovagevale.core.event.OutcomeAsked;
import org.lovagevale.core.event.StopRequested;
import org.lovagevale.core.event.VmListReceived;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.message.Digest;
import org.lovagevale.core.message.KeyArchive;
import org.lovagevale.core.message.OutcomeAnswer;
import org.lovagevale.core.message.OutcomeQuery;
import org.lovagevale.core.message.SuspectEntry;
import org.lovagevale.core.message.SuspectNotice;
import org.lovagevale.core.message.SuspectNoticeAck;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against crashing requests that spread to other servers, keys that get a wrong
 * outcome, data that leaves its home regions, and planned stops that lose running
 * requests or the key archive.
 */
class FleetRequestsTests {

	private static final Fingerprint CRASHING = new Fingerprint("aa");

	private static final Set<Region> WEST = Set.of(new Region("west"));

	private final FleetHarness fleet = FleetHarness
		.withSettings(TestSettings.settings(7, "west/a/e1", "west/b/e2", "west/a/e3", "east/a/e5"), "e2", "e3", "e5");

	@Test
	void noticeIsSettledByAllAcknowledgementsOrTimeout() {
		long first = this.fleet.logic.recordCrash(CRASHING, WEST);
		assertThat(this.fleet.sent("e5", SuspectNotice.class)).isEmpty();
		this.fleet.receive("e2", new SuspectNoticeAck(first));
		assertThat(this.fleet.logic.isNoticeSettled(first)).isFalse();
		this.fleet.receive("e3", new SuspectNoticeAck(first));
		assertThat(this.fleet.logic.isNoticeSettled(first)).isTrue();
		long second = this.fleet.logic.recordCrash(CRASHING, WEST);
		assertThat(this.fleet.logic.isNoticeSettled(second)).isFalse();
		this.fleet.clock.advance(150);
		assertThat(this.fleet.logic.isNoticeSettled(second)).isTrue();
	}

	@Test
	void strikesOfSeveralProcessesAddUpAndRepeatsDoNot() {
		this.fleet.receive("e2", new SuspectNotice(1, suspect(1, 0)));
		this.fleet.receive("e2", new SuspectNotice(1, suspect(1, 0)));
		assertThat(this.fleet.logic.suspectStatus(CRASHING)).isEqualTo(SuspectStatus.SUSPECT);
		assertThat(this.fleet.sent("e2", SuspectNoticeAck.class)).hasSize(2);
		this.fleet.receive("e3", new SuspectNotice(9, suspect(1, 0)));
		assertThat(this.fleet.logic.suspectStatus(CRASHING)).isEqualTo(SuspectStatus.QUARANTINED);
		assertThat(this.fleet.auditEvents()).contains("request.quarantined");
		this.fleet.clock.advance(600_001);
		assertThat(this.fleet.logic.suspectStatus(CRASHING)).isEqualTo(SuspectStatus.CLEAR);
	}

	@Test
	void digestsPropagateQuarantine() {
		this.fleet.receive("e2", this.fleet.digest("e2", List.of(), List.of(suspect(2, 0))));
		assertThat(this.fleet.logic.suspectStatus(CRASHING)).isEqualTo(SuspectStatus.QUARANTINED);
		this.fleet.advance(500);
		assertThat(this.fleet.sent("e3", Digest.class)).flatExtracting(Digest::suspects)
			.extracting(SuspectEntry::strikes)
			.contains(2);
		assertThat(this.fleet.sent("e5", Digest.class)).flatExtracting(Digest::suspects).isEmpty();
	}

	@Test
	void onlyOneOfTwoSimultaneousTrialsRuns() {
		this.fleet.logic.recordCrash(CRASHING, Set.of());
		long trial = this.fleet.logic.startTrial(CRASHING, 1_000, Set.of());
		this.fleet.receive("e2", new SuspectNotice(4, suspect(0, 1_000)));
		this.fleet.clock.advance(200);
		assertThat(this.fleet.logic.isNoticeSettled(trial)).as("trial on e1 precedes trial on e2").isTrue();
		this.fleet.receive("e0", new SuspectNotice(4, suspect(0, 1_000)));
		assertThat(this.fleet.logic.isNoticeSettled(trial)).as("trial on e0 precedes trial on e1").isFalse();
		this.fleet.receive("e0", new SuspectNotice(5, suspect(0, 0)));
		assertThat(this.fleet.logic.isNoticeSettled(trial)).isTrue();
		this.fleet.receive("e2", new SuspectNotice(5, suspect(0, 0)));
		this.fleet.logic.endTrial(CRASHING, Set.of(), false);
		assertThat(this.fleet.logic.suspectStatus(CRASHING)).isEqualTo(SuspectStatus.SUSPECT);
	}

	// A request that merely ran on a server when another request crashed it must not
	// remain a suspect.
	@Test
	void answeredTrialClearsTheKnownStrikes() {
		this.fleet.logic.recordCrash(CRASHING, Set.of());
		this.fleet.logic.startTrial(CRASHING, 1_000, Set.of());
		this.fleet.logic.endTrial(CRASHING, Set.of(), true);
		assertThat(this.fleet.logic.suspectStatus(CRASHING)).isEqualTo(SuspectStatus.CLEAR);
		this.fleet.receive("e2", new SuspectNotice(1, suspect(1, 0)));
		assertThat(this.fleet.logic.suspectStatus(CRASHING)).as("a crash observed by another process")
			.isEqualTo(SuspectStatus.SUSPECT);
		this.fleet.receive("e3", new SuspectNotice(1, suspect(1, 0)));
		assertThat(this.fleet.logic.suspectStatus(CRASHING)).isEqualTo(SuspectStatus.QUARANTINED);
	}

	@Test
	void fullQuarantineDropsTheOldestSuspectFirst() {
		this.fleet.receive("e2", new SuspectNotice(1, suspect(2, 0)));
		for (int i = 0; i < 10_000; i++) {
			this.fleet.logic.recordCrash(new Fingerprint("f" + i), Set.of());
		}
		assertThat(this.fleet.logic.suspects()).hasSize(10_000);
		assertThat(this.fleet.logic.suspectStatus(CRASHING)).isEqualTo(SuspectStatus.QUARANTINED);
	}

	@Test
	void messagesForOtherRegionsAreDroppedAndCounted() {
		List<String> east = List.of("east");
		this.fleet.receive("e5", new SuspectNotice(1, new SuspectEntry("aa", 2, 0, 0, east, 0)));
		this.fleet.receive("e5", new OutcomeQuery(1, key("e1", "a").toString(), east));
		this.fleet.receive("e5", new KeyArchive("e5", incarnation(), List.of(), List.of(), 60_000, east));
		this.fleet.receive("e5", this.fleet.digest("e5", List.of(), List.of(new SuspectEntry("aa", 2, 0, 0, east, 0))));
		assertThat(this.fleet.logic.counters().outsideHomeRegions()).isEqualTo(4);
		assertThat(this.fleet.logic.suspectStatus(CRASHING)).isEqualTo(SuspectStatus.CLEAR);
		assertThat(this.fleet.sent("e5", OutcomeAnswer.class)).isEmpty();
		assertThat(this.fleet.logic.outcomeOf(this.fleet.logic.queryOutcome(key("e5", "b"), WEST)))
			.isEqualTo(Outcome.UNKNOWN);
		assertThat(this.fleet.sent("e5", OutcomeQuery.class)).isEmpty();
	}

	@Test
	void onlyTheOwnerEstablishesTheOutcome() {
		IdempotencyKey key = key("e2", "a");
		long query = this.fleet.logic.queryOutcome(key, WEST);
		assertThat(this.fleet.logic.outcomeOf(query)).isNull();
		long id = this.fleet.sent("e2", OutcomeQuery.class).getFirst().id();
		this.fleet.receive("e3", new OutcomeAnswer(id, key.toString(), "RAN"));
		assertThat(this.fleet.logic.outcomeOf(query)).isNull();
		this.fleet.receive("e2", new OutcomeAnswer(id, key.toString(), "NOT_RUN"));
		assertThat(this.fleet.logic.outcomeOf(query)).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void outcomeIsUnknownIfOwnerIsSilentOrReplaced() {
		long query = this.fleet.logic.queryOutcome(key("e2", "a"), Set.of());
		this.fleet.clock.advance(500);
		assertThat(this.fleet.logic.outcomeOf(query)).isEqualTo(Outcome.UNKNOWN);
		IdempotencyKey keyOfPredecessor = new IdempotencyKey(new VmName("e2"), new Incarnation(1, 1), 0, "a");
		this.fleet.apply(new OutcomeAsked(new RequestId(5), keyOfPredecessor.toString()));
		this.fleet.apply(new OutcomeAsked(new RequestId(6), "nonsense"));
		this.fleet.advance(600);
		assertThat(this.fleet.decisions(AnswerOutcome.class)).hasSize(2)
			.allMatch((answer) -> answer.outcome() == Outcome.UNKNOWN);
	}

	@Test
	void archivedOutcomesAreReturnedForStoppedOwner() {
		String unknownEpochs = IdempotencyKey.prefix(new VmName("e2"), FleetHarness.INCARNATION, 3)
				+ KeyArchive.THIS_AND_EARLIER_EPOCHS;
		this.fleet.receive("e2", new KeyArchive("e2", incarnation(), List.of(key("e2", "ran").toString()),
				List.of(key("e2", "lost").toString(), unknownEpochs), 60_000, List.of("west")));
		assertThat(archivedOutcome("ran", 5)).isEqualTo("RAN");
		assertThat(archivedOutcome("lost", 5)).isEqualTo("UNKNOWN");
		assertThat(archivedOutcome("other", 5)).isEqualTo("NOT_RUN");
		assertThat(archivedOutcome("other", 3)).isEqualTo("UNKNOWN");
		this.fleet.clock.advance(60_001);
		assertThat(archivedOutcome("other", 5)).isEqualTo("UNKNOWN");
	}

	@Test
	void plannedStopAnnouncesWaitsArchivesAndExits() {
		this.fleet.logic.setRunningRequests(1);
		this.fleet.apply(new StopRequested());
		assertThat(this.fleet.logic.phase()).isEqualTo(MemberPhase.LEAVING);
		advanceWithDigests(9_500);
		assertThat(this.fleet.logic.permission()).isEqualTo(WorkPermission.OPEN);
		assertThat(this.fleet.decisions(StopAccepting.class)).isEmpty();
		advanceWithDigests(5_000);
		assertThat(this.fleet.decisions(StopAccepting.class)).hasSize(1);
		assertThat(this.fleet.logic.permission()).isEqualTo(WorkPermission.STOPPED);
		assertThat(this.fleet.sent("e2", KeyArchive.class)).isEmpty();
		this.fleet.logic.setRunningRequests(0);
		advanceWithDigests(1_000);
		assertThat(this.fleet.sent("e2", KeyArchive.class)).hasSize(1);
		assertThat(this.fleet.sent("e3", KeyArchive.class)).hasSize(1);
		assertThat(this.fleet.sent("e5", KeyArchive.class)).isEmpty();
		assertThat(this.fleet.decisions(Exit.class)).hasSize(1);
	}

	@Test
	void vmListThatShowsPredecessorAsLeavingDoesNotStopNewProcess() {
		this.fleet.apply(new VmListReceived(Set.of("e1"), Set.of()));
		this.fleet.advance(1_000);
		assertThat(this.fleet.logic.phase()).isEqualTo(MemberPhase.LIVE);
		this.fleet.advance(60_000);
		this.fleet.apply(new VmListReceived(Set.of("e1"), Set.of()));
		this.fleet.advance(50);
		assertThat(this.fleet.logic.phase()).isEqualTo(MemberPhase.LEAVING);
	}

	@Test
	void replacedProcessStopsAtOnce() {
		Digest digest = new Digest(List.of(this.fleet.entry("e1", new Incarnation(101, 0), MemberPhase.LIVE, false)), 0,
				-1, List.of(), List.of());
		this.fleet.receive("e2", digest);
		this.fleet.advance(50);
		assertThat(this.fleet.logic.permission()).isEqualTo(WorkPermission.STOPPED);
	}

	private void advanceWithDigests(long millis) {
		for (long i = 0; i < millis; i += 250) {
			this.fleet.receiveDigestsFrom("e2", "e3", "e5");
			this.fleet.advance(250);
		}
	}

	private String archivedOutcome(String unique, long epoch) {
		IdempotencyKey key = new IdempotencyKey(new VmName("e2"), FleetHarness.INCARNATION, epoch, unique);
		this.fleet.receive("e3", new OutcomeQuery(1, key.toString(), List.of("west")));
		return this.fleet.sent("e3", OutcomeAnswer.class).getLast().outcome();
	}

	private static IdempotencyKey key(String vm, String unique) {
		return new IdempotencyKey(new VmName(vm), FleetHarness.INCARNATION, 5, unique);
	}

	private static String incarnation() {
		return FleetHarness.INCARNATION.toString();
	}

	private static SuspectEntry suspect(int strikes, long trialMs) {
		return new SuspectEntry("aa", strikes, 0, trialMs, List.of("west"), 0);
	}

}
