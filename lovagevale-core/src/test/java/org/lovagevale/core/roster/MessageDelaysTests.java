package org.lovagevale.core.roster;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.VmName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against states that look newer than they are because they waited on a cut link
 * or in a frozen process.
 */
class MessageDelaysTests {

	private static final VmName SENDER = new VmName("vm-1");

	/** Difference between the clocks of receiver and sender. */
	private static final long OFFSET_MS = 50_000;

	private final MessageDelays delays = new MessageDelays();

	private long delayMs(long sentAt, long waitedMs) {
		return this.delays.record(SENDER, sentAt, sentAt + OFFSET_MS + waitedMs).orElse(-1);
	}

	@Test
	void delayIsTheExcessOverTheFastestMessage() {
		delayMs(1_000, 3);
		delayMs(2_000, 1);
		assertThat(delayMs(3_000, 2)).isEqualTo(1);
		assertThat(delayMs(4_000, 5_501)).isEqualTo(5_500);
		assertThat(delayMs(9_500, 1)).isZero();
	}

	@Test
	void messagesThatArriveTogetherAfterTheFirstContactHaveNoKnownDelay() {
		for (long sentAt = 1_000; sentAt < 6_000; sentAt += 700) {
			assertThat(delayMs(sentAt, 6_200 - sentAt)).isEqualTo(-1);
		}
		assertThat(delayMs(6_600, 0)).isEqualTo(-1);
		assertThat(delayMs(6_700, 0)).isEqualTo(-1);
		assertThat(delayMs(7_300, 0)).isZero();
	}

	@Test
	void clockThatGoesBackBelongsToAnotherRun() {
		delayMs(100_000, 0);
		delayMs(102_000, 0);
		assertThat(this.delays.record(SENDER, 500, 110_000)).isEmpty();
		assertThat(this.delays.record(SENDER, 2_500, 112_030)).hasValue(30);
		assertThat(this.delays.record(SENDER, 3_500, 114_000)).hasValue(1_000);
	}

	@Test
	void slowDriftOfTheClocksIsNoDelay() {
		for (long step = 0; step < 200; step++) {
			long sentAt = 1_000 + step * 60_000;
			assertThat(delayMs(sentAt, step * 5)).isBetween(-1L, MessageDelays.MAX_DEVIATION_MS + 5);
		}
	}

	// Guards against a VM whose news seem old for good after it was suspended.
	@Test
	void clockThatWasSuspendedIsNoDelayForLong() {
		delayMs(1_000, 0);
		delayMs(1_700, 0);
		assertThat(delayMs(2_400, 30_000)).isEqualTo(30_000);
		assertThat(delayMs(3_100, 30_010)).isLessThan(MessageDelays.MAX_DEVIATION_MS);
		assertThat(delayMs(3_800, 30_000)).isZero();
	}

	@Test
	void furtherSendersHaveNoKnownDelay() {
		for (int sender = 0; sender < MessageDelays.MAX_SENDERS; sender++) {
			this.delays.record(new VmName("vm-" + sender + "-of-many"), 1, 10);
		}
		assertThat(delayMs(1_000, 0)).isEqualTo(-1);
		assertThat(delayMs(3_000, 0)).isEqualTo(-1);
		long later = 2 * MessageDelays.FORGET_MS;
		assertThat(delayMs(later, 0)).isEqualTo(-1);
		assertThat(delayMs(later + 2_000, 7)).isEqualTo(7);
		assertThat(delayMs(later + 4_000, 9)).isEqualTo(9);
	}

}
