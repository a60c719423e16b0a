package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.SeededRandom;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rejected callers that return at the same time, and against callers that
 * return as told and are treated as new.
 */
class ReturnScheduleTests {

	private final ReturnSchedule schedule = new ReturnSchedule(new SeededRandom(1));

	private static SlotRequest request(long fingerprint) {
		return new SlotRequest(new SlotId(DispatcherFixture.VM, fingerprint), DispatcherFixture.SERVICE,
				DispatcherFixture.DOMAIN, Set.of(), true, 1, false, SendPurpose.FIRST, 100, 400, 2_000, Set.of(),
				fingerprint, "reads", 0, Set.of());
	}

	@Test
	void callersThatAreRejectedTogetherReturnAtDifferentTimes() {
		List<Integer> delays = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			delays.add(this.schedule.plan(request(i), 200, 2, 1_000));
		}
		// Half of the work of two slots, thus one request each 100 ms.
		for (int i = 0; i < 20; i++) {
			assertThat(delays.get(i)).isEqualTo(200 + i * 100);
		}
	}

	@Test
	void callersWithoutRoomAreSpreadOverLaterTimes() {
		for (int i = 0; i < 200; i++) {
			this.schedule.plan(request(i), 200, 2, 1_000);
		}
		assertThat(this.schedule.plan(request(1_000), 200, 2, 1_000)).isBetween(3_000, 5_000);
	}

	@Test
	void callerThatReturnsAsToldIsRecognizedOnce() {
		int delayMs = this.schedule.plan(request(1), 200, 2, 1_000);
		assertThat(this.schedule.takeReturned(request(1), 1_050)).isEqualTo(CallerReturn.NONE);
		assertThat(this.schedule.takeReturned(request(2), 1_000 + delayMs)).isEqualTo(CallerReturn.NONE);
		assertThat(this.schedule.takeReturned(request(1), 1_000 + delayMs)).isEqualTo(CallerReturn.PLANNED);
		assertThat(this.schedule.takeReturned(request(1), 1_000 + delayMs)).isEqualTo(CallerReturn.NONE);
	}

	@Test
	void callerThatReturnsMuchLaterIsNew() {
		int delayMs = this.schedule.plan(request(1), 200, 2, 1_000);
		assertThat(this.schedule.takeReturned(request(1), 1_000 + delayMs + 1_500)).isEqualTo(CallerReturn.NONE);
	}

	// Room that is kept for callers that have given up would be lost to the others.
	@Test
	void roomIsKeptOnlyForTheShareOfCallersThatReturn() {
		long now = 1_000;
		for (int i = 0; i < 500; i++) {
			int delayMs = this.schedule.plan(request(i), 200, 2, now);
			now += delayMs;
			assertThat(this.schedule.takeReturned(request(i), now)).isEqualTo(CallerReturn.PLANNED);
		}
		this.schedule.plan(request(1_000), 0, 2, now);
		now += ReturnSchedule.MIN_DELAY_MS;
		assertThat(this.schedule.plannedWorkMs(1, now)).isBetween(90L, 100L);
		assertThat(this.schedule.plannedWorkMs(0, now)).isZero();
		for (int i = 0; i < 500; i++) {
			this.schedule.plan(request(2_000 + i), 200, 2, now);
			now += 400;
			this.schedule.plannedWorkMs(1, now);
		}
		this.schedule.plan(request(9_000), 0, 2, now);
		assertThat(this.schedule.plannedWorkMs(1, now + ReturnSchedule.MIN_DELAY_MS)).isLessThan(10);
	}

}
