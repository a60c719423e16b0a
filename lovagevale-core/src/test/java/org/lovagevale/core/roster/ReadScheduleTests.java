package org.lovagevale.core.roster;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReadScheduleTests {

	private final ReadSchedule schedule = new ReadSchedule(-1_000, 100);

	@Test
	void processWithoutStateReadsAtAnyRank() {
		assertThat(this.schedule.isDue(Long.MAX_VALUE, 5, 0)).isTrue();
		this.schedule.recordStart(0);
		assertThat(this.schedule.isDue(Long.MAX_VALUE, 5, 10)).isFalse();
	}

	@Test
	void readerContinuesAndOthersWaitByRank() {
		this.schedule.recordStart(0);
		this.schedule.recordSuccess();
		assertThat(this.schedule.isDue(ReadSchedule.INTERVAL_MS, 3, 700)).isTrue();
		this.schedule.recordNewerState();
		assertThat(this.schedule.isDue(ReadSchedule.INTERVAL_MS, 0, 700)).isFalse();
		assertThat(this.schedule.isDue(ReadSchedule.TAKEOVER_AGE_MS, 0, 1_100)).isTrue();
		assertThat(this.schedule.isDue(ReadSchedule.TAKEOVER_AGE_MS, 1, 1_100)).isFalse();
	}

	@Test
	void highestRankReadsWithinThePromisedTime() {
		// The limit promised to operators is 2.5 s; the read itself takes up to 0.3 s.
		assertThat(this.schedule.isDue(2_200, 50, 10_000)).isTrue();
	}

	// Guards against a process that never reads a store which needs more than one second.
	@Test
	void everySecondReadAfterAFailureWaitsLonger() {
		assertThat(this.schedule.silenceMs()).isEqualTo(ReadSchedule.SILENCE_MS);
		this.schedule.recordFailure();
		assertThat(this.schedule.silenceMs()).isEqualTo(ReadSchedule.LONG_SILENCE_MS);
		this.schedule.recordFailure();
		assertThat(this.schedule.silenceMs()).isEqualTo(ReadSchedule.SILENCE_MS);
		this.schedule.recordFailure();
		this.schedule.recordSuccess();
		assertThat(this.schedule.silenceMs()).isEqualTo(ReadSchedule.SILENCE_MS);
	}

	@Test
	void readWithoutAnEndDoesNotStopFurtherReads() {
		this.schedule.recordStart(0);
		assertThat(this.schedule.isDue(Long.MAX_VALUE, 0, ReadSchedule.MAX_READ_MS - 1)).isFalse();
		assertThat(this.schedule.isDue(Long.MAX_VALUE, 0, ReadSchedule.MAX_READ_MS)).isTrue();
	}

	// Guards against a read on a small VM that takes the time in which peers are found.
	@Test
	void smallVmWaitsLongerForOtherProcessesBeforeTheFirstRead() {
		ReadSchedule small = new ReadSchedule(0, 30);
		assertThat(small.isDue(Long.MAX_VALUE, 0, 139)).isFalse();
		assertThat(small.isDue(Long.MAX_VALUE, 0, 140)).isTrue();
		assertThat(new ReadSchedule(0, 150).isDue(Long.MAX_VALUE, 0, 0)).isTrue();
	}

	// Guards against a complete read by each process of a region that starts.
	@Test
	void requestedStateIsAwaitedBeforeARead() {
		this.schedule.recordStart(0);
		assertThat(this.schedule.mayRequestState()).isTrue();
		this.schedule.recordStateRequested(100);
		assertThat(this.schedule.mayRequestState()).isFalse();
		assertThat(this.schedule.isDue(Long.MAX_VALUE, 0, 100 + ReadSchedule.REQUESTED_STATE_TIMEOUT_MS - 1)).isFalse();
		assertThat(this.schedule.isDue(Long.MAX_VALUE, 0, 100 + ReadSchedule.REQUESTED_STATE_TIMEOUT_MS)).isTrue();
	}

	@Test
	void readIsDueAtOnceIfTheRequestedStateCannotArrive() {
		this.schedule.recordStateRequested(100);
		this.schedule.recordRequestFailed();
		assertThat(this.schedule.isDue(Long.MAX_VALUE, 0, 101)).isTrue();
	}

	// Guards against servers that had left and are used again after a start.
	@Test
	void oldInitialStateIsAdoptedOnlyIfThePlatformCannotBeRead() {
		assertThat(this.schedule.isInitialStateAccepted(700)).isTrue();
		assertThat(this.schedule.isInitialStateAccepted(3_000)).isFalse();
		this.schedule.recordStart(0);
		this.schedule.recordFailure();
		assertThat(this.schedule.isInitialStateAccepted(3_000)).isTrue();
	}

	@Test
	void processWhoseReadsFailIsRankedBehindOthers() {
		this.schedule.recordStart(0);
		this.schedule.recordFailure();
		assertThat(this.schedule.isDue(ReadSchedule.TAKEOVER_AGE_MS, 0, 1_000)).isFalse();
		assertThat(this.schedule.isDue(ReadSchedule.TAKEOVER_AGE_MS + 3 * ReadSchedule.RANK_DELAY_MS, 0, 1_000))
			.isTrue();
		assertThat(this.schedule.isDue(5_000, 0, 100)).isFalse();
	}

	// Guards against a late change of the reader after an outage that all processes saw.
	@Test
	void readThatFailedInAnOutageDoesNotRankAProcessBehindOthersAfterIt() {
		this.schedule.recordStart(1_000);
		this.schedule.recordFailure();
		this.schedule.recordStoreContact(900);
		assertThat(this.schedule.isDue(ReadSchedule.TAKEOVER_AGE_MS, 0, 2_000)).isFalse();
		this.schedule.recordStoreContact(1_200);
		assertThat(this.schedule.isDue(ReadSchedule.TAKEOVER_AGE_MS, 0, 2_000)).isTrue();
	}

}
