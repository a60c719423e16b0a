package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.CrashStrikeEntry;
import org.lovagevale.core.message.CrashSuspectEntry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against requests that are tried again and again although they crash servers, and
 * against sound requests that stay quarantined.
 */
class CrashSuspectsTests {

	private static final long REQUEST = 99;

	private static final VmName VM = new VmName("vm-1");

	private final CrashSuspects suspects = new CrashSuspects(TrialOrder.ONLY_REGION, Set.of(), 0);

	private long lastNumber;

	private SlotId nextId() {
		return new SlotId(VM, ++this.lastNumber);
	}

	private void crash(long fingerprint, long now) {
		SlotId id = nextId();
		this.suspects.recordSend(fingerprint, id, now);
		this.suspects.recordOutcome(fingerprint, id, SlotOutcome.LOST, now);
	}

	private static CrashSuspectEntry entry(long fingerprint, CrashStrikeEntry... strikes) {
		return new CrashSuspectEntry(fingerprint, List.of(strikes));
	}

	@Test
	void requestIsTriedThreeTimesAfterItsThirdStrikeAtGrowingIntervals() {
		List<Long> sentAt = new ArrayList<>();
		long now = 0;
		for (; now < 100L * 24 * 3_600_000; now += 10_000) {
			if (this.suspects.quarantineLeftMs(REQUEST, true, now) == 0) {
				sentAt.add(now);
				crash(REQUEST, now);
			}
		}
		assertThat(sentAt).containsExactly(0L, 10_000L, 70_000L, 670_000L, 6_670_000L, 66_670_000L);
		assertThat(this.suspects.quarantineLeftMs(REQUEST, true, now)).isEqualTo(CrashSuspects.NEVER_TRIED_RETRY_MS);
	}

	@Test
	void retryDelayIsTheTimeUntilTheTrial() {
		crash(REQUEST, 0);
		crash(REQUEST, 1_000);
		assertThat(this.suspects.quarantineLeftMs(REQUEST, true, 21_000)).isEqualTo(40_000);
		assertThat(this.suspects.quarantineLeftMs(REQUEST, true, 61_000)).isZero();
	}

	@Test
	void processThatMayNotTryRefusesTheRequestAlsoWhenATrialIsDue() {
		crash(REQUEST, 0);
		crash(REQUEST, 0);
		assertThat(this.suspects.quarantineLeftMs(REQUEST, false, 60_000)).isPositive();
	}

	@Test
	void noSecondTrialBeginsBeforeTheOutcomeOfTheFirst() {
		crash(REQUEST, 0);
		crash(REQUEST, 0);
		assertThat(this.suspects.recordSend(REQUEST, nextId(), 60_000)).isTrue();
		assertThat(this.suspects.quarantineLeftMs(REQUEST, true, 60_001)).isGreaterThan(500_000);
	}

	@ParameterizedTest
	@EnumSource(names = { "NOT_EXECUTED", "REPLACED", "UNREACHABLE", "UNUSED" })
	void trialThatWasNotExecutedCountsAsNone(SlotOutcome outcome) {
		crash(REQUEST, 0);
		crash(REQUEST, 0);
		SlotId trial = nextId();
		this.suspects.recordSend(REQUEST, trial, 60_000);
		// The release of an unused slot has no fingerprint.
		this.suspects.recordOutcome((outcome == SlotOutcome.UNUSED) ? 0 : REQUEST, trial, outcome, 60_050);
		assertThat(this.suspects.quarantineLeftMs(REQUEST, true, 60_051)).isZero();
	}

	@ParameterizedTest
	@EnumSource(names = { "FAILED", "ABANDONED", "LOST" })
	void trialWithoutResponseCountsAsStrike(SlotOutcome outcome) {
		crash(REQUEST, 0);
		crash(REQUEST, 0);
		SlotId trial = nextId();
		this.suspects.recordSend(REQUEST, trial, 60_000);
		this.suspects.recordOutcome(REQUEST, trial, outcome, 60_050);
		assertThat(this.suspects.strikes(REQUEST)).isEqualTo(3);
	}

	@Test
	void responseReleasesTheRequestInAllTables() {
		crash(REQUEST, 0);
		crash(REQUEST, 0);
		CrashSuspects other = new CrashSuspects(TrialOrder.ONLY_REGION, Set.of(), 0);
		SuspectReports reports = new SuspectReports(this.suspects);
		VmName vm = new VmName("vm-2");
		reports.takeDue(vm, false, true, 10).forEach((entry) -> other.merge(entry, SuspectSource.OTHER_REGION, 40));
		assertThat(other.strikes(REQUEST)).isEqualTo(2);
		SlotId trial = nextId();
		this.suspects.recordSend(REQUEST, trial, 60_000);
		this.suspects.recordOutcome(REQUEST, trial, SlotOutcome.SERVED, 60_050);
		reports.takeDue(vm, false, true, 60_100)
			.forEach((entry) -> other.merge(entry, SuspectSource.OTHER_REGION, 60_130));
		assertThat(other.isSuspect(REQUEST)).isFalse();
		assertThat(other.quarantineLeftMs(REQUEST, true, 60_130)).isZero();
	}

	@Test
	void clearedStrikesDoNotComeBackWithAnOlderReport() {
		CrashStrikeEntry strike = new CrashStrikeEntry("vm-2", 1, 100, false);
		this.suspects.merge(entry(REQUEST, strike), SuspectSource.REGION, 1_000);
		this.suspects.recordOutcome(REQUEST, nextId(), SlotOutcome.SERVED, 1_100);
		assertThat(this.suspects.merge(entry(REQUEST, strike), SuspectSource.REGION, 1_200)).isFalse();
		assertThat(this.suspects.isSuspect(REQUEST)).isFalse();
	}

	@Test
	void strikeThatIsReportedAgainIsNotPostponed() {
		for (int i = 0; i < 2; i++) {
			crash(REQUEST, 0);
		}
		this.suspects.merge(entry(REQUEST, new CrashStrikeEntry(VM.value(), 2, 0, false)), SuspectSource.REGION,
				50_000);
		assertThat(this.suspects.strikes(REQUEST)).isEqualTo(2);
		assertThat(this.suspects.quarantineLeftMs(REQUEST, true, 60_000)).isZero();
	}

	@Property(tries = 300, seed = "1")
	void tablesWithTheSameReportsAreEqual(@ForAll long seed) {
		Random random = new Random(seed);
		List<CrashSuspectEntry> entries = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			entries.add(entry(random.nextInt(3), new CrashStrikeEntry("vm-" + random.nextInt(2), random.nextInt(2),
					random.nextInt(100_000), random.nextInt(4) == 0)));
		}
		CrashSuspects inOrder = new CrashSuspects(TrialOrder.ONLY_REGION, Set.of(), 0);
		entries.forEach((entry) -> inOrder.merge(entry, SuspectSource.REGION, 200_000));
		CrashSuspects shuffled = new CrashSuspects(TrialOrder.ONLY_REGION, Set.of(), 0);
		Collections.shuffle(entries, random);
		entries.forEach((entry) -> shuffled.merge(entry, SuspectSource.OTHER_REGION, 200_000));
		entries.forEach((entry) -> assertThat(shuffled.merge(entry, SuspectSource.REGION, 200_000)).isFalse());
		for (long request = 0; request < 3; request++) {
			assertThat(shuffled.strikes(request)).isEqualTo(inOrder.strikes(request));
			assertThat(shuffled.quarantineLeftMs(request, true, 200_000))
				.isEqualTo(inOrder.quarantineLeftMs(request, true, 200_000));
		}
	}

	@Test
	void crowdOfDistinctRequestsDoesNotDisplaceTheDangerousOnes() {
		for (int i = 0; i < 3; i++) {
			crash(REQUEST, i);
		}
		for (int i = 0; i < 10 * CrashSuspects.MAX_SUSPECTS; i++) {
			crash(1_000 + i, 10 + i);
		}
		assertThat(this.suspects.size()).isEqualTo(CrashSuspects.MAX_SUSPECTS);
		assertThat(this.suspects.strikes(REQUEST)).isEqualTo(3);
		assertThat(this.suspects.isSuspect(1_000)).isFalse();
		assertThat(this.suspects.isSuspect(1_000 + 10 * CrashSuspects.MAX_SUSPECTS - 1)).isTrue();
	}

	@Test
	void strikesOfARequestAreBounded() {
		for (int i = 0; i < 100; i++) {
			this.suspects.merge(entry(REQUEST, new CrashStrikeEntry("vm-2", i, i, false)), SuspectSource.REGION, 1_000);
		}
		assertThat(this.suspects.strikes(REQUEST)).isEqualTo(CrashSuspect.MAX_STRIKES);
	}

	@Test
	void requestsWithoutStrikesAreForgottenLater() {
		crash(REQUEST, 0);
		this.suspects.recordOutcome(REQUEST, nextId(), SlotOutcome.SERVED, 1_000);
		this.suspects.removeCleared(1_000 + CrashSuspects.CLEARED_RETENTION_MS);
		assertThat(this.suspects.size()).isEqualTo(1);
		this.suspects.removeCleared(1_001 + CrashSuspects.CLEARED_RETENTION_MS);
		assertThat(this.suspects.size()).isZero();
	}

	@Test
	void releasedRequestLosesTheStrikesFromBeforeTheStart() {
		CrashSuspects restarted = new CrashSuspects(TrialOrder.ONLY_REGION, Set.of(REQUEST), 100_000);
		CrashStrikeEntry old = new CrashStrikeEntry("vm-2", 1, 50_000, false);
		assertThat(restarted.merge(entry(REQUEST, old), SuspectSource.REGION, 101_000)).isTrue();
		assertThat(restarted.isSuspect(REQUEST)).isFalse();
		SuspectReports reports = new SuspectReports(restarted);
		assertThat(reports.takeDue(new VmName("vm-2"), true, false, 101_000)).singleElement()
			.satisfies((entry) -> assertThat(entry.strikes()).allMatch(CrashStrikeEntry::cleared));
		restarted.merge(entry(REQUEST, new CrashStrikeEntry("vm-2", 2, 100, false)), SuspectSource.REGION, 102_000);
		assertThat(restarted.strikes(REQUEST)).isEqualTo(1);
	}

	@ParameterizedTest
	@ValueSource(longs = { -1, Long.MIN_VALUE, Long.MAX_VALUE })
	void strikeOfInvalidAgeIsRejected(long ageMs) {
		CrashSuspectEntry invalid = entry(REQUEST, new CrashStrikeEntry("vm-2", 1, ageMs, false));
		assertThatThrownBy(() -> this.suspects.merge(invalid, SuspectSource.REGION, 0))
			.isInstanceOf(IllegalArgumentException.class)
			.hasMessageContaining("age of " + ageMs + " ms");
		assertThat(this.suspects.size()).isZero();
	}

	@Test
	void entryWithTooManyStrikesIsRejected() {
		CrashStrikeEntry[] strikes = new CrashStrikeEntry[CrashSuspect.MAX_STRIKES + 1];
		for (int i = 0; i < strikes.length; i++) {
			strikes[i] = new CrashStrikeEntry("vm-2", i, 0, false);
		}
		assertThatThrownBy(() -> this.suspects.merge(entry(REQUEST, strikes), SuspectSource.REGION, 0))
			.isInstanceOf(IllegalArgumentException.class);
	}

	@Test
	void regionsThatKnowOfEachOtherTryARequestAtDifferentTimes() {
		Set<Region> regions = Set.of(new Region("west"), new Region("east"), new Region("south"));
		List<CrashSuspects> tables = new ArrayList<>();
		for (Region own : regions) {
			Set<Region> others = new HashSet<>(regions);
			others.remove(own);
			tables.add(new CrashSuspects(TrialOrder.among(own, () -> others), Set.of(), 0));
		}
		for (CrashSuspects table : tables) {
			table.merge(entry(REQUEST, new CrashStrikeEntry("vm-2", 1, 0, false),
					new CrashStrikeEntry("vm-2", 2, 0, false)), SuspectSource.OTHER_REGION, 0);
		}
		int tries = 0;
		for (long now = CrashSuspects.QUARANTINE_MS; now < CrashSuspects.QUARANTINE_MS + 60_000; now += 100) {
			long at = now;
			List<CrashSuspects> trying = tables.stream()
				.filter((table) -> table.quarantineLeftMs(REQUEST, true, at) == 0)
				.toList();
			assertThat(trying).hasSizeLessThanOrEqualTo(1);
			tries += trying.size();
			tables.stream()
				.filter((table) -> !trying.contains(table))
				.forEach((table) -> assertThat(
						table.quarantineLeftMs(REQUEST, true, at + table.quarantineLeftMs(REQUEST, true, at)))
					.isZero());
		}
		assertThat(tries).isEqualTo(300);
	}

	@Test
	void allSuspectsReachAReceiverInSeveralReports() {
		for (int i = 0; i < 3 * SuspectReports.MAX_SUSPECTS; i++) {
			crash(i, i);
		}
		SuspectReports reports = new SuspectReports(this.suspects);
		CrashSuspects other = new CrashSuspects(TrialOrder.ONLY_REGION, Set.of(), 0);
		for (int i = 0; i < 4; i++) {
			List<CrashSuspectEntry> due = reports.takeDue(new VmName("vm-2"), true, true, 1_000);
			assertThat(due).hasSizeLessThanOrEqualTo(SuspectReports.MAX_SUSPECTS);
			due.forEach((entry) -> other.merge(entry, SuspectSource.REGION, 1_000));
		}
		assertThat(other.size()).isEqualTo(3 * SuspectReports.MAX_SUSPECTS);
		assertThat(reports.takeDue(new VmName("vm-2"), true, true, 1_000)).isEmpty();
		reports.forget(new VmName("vm-2"));
		assertThat(reports.takeDue(new VmName("vm-2"), true, true, 1_000)).hasSize(SuspectReports.MAX_SUSPECTS);
	}

}
