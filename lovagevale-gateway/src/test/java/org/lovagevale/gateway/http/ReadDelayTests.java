package org.lovagevale.gateway.http;

import io.netty.channel.epoll.EpollTcpInfo;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against servers that are handed more time than the caller has left after a delay
 * of the event loop.
 */
class ReadDelayTests {

	@Test
	void dataOfASystemThatRecordsNoTimesCountsAsReceivedAtTheBeginOfTheDelay() {
		assertThat(ReadDelay.waitedMs(700, new EpollTcpInfo())).isEqualTo(700);
	}

	@Test
	void delayIsTheTimeByWhichThePeriodicWorkIsOverdue() {
		ManualClock clock = new ManualClock(1_000, 0);
		ReadDelay delay = new ReadDelay(clock, 100);
		clock.advance(100);
		assertThat(delay.millis()).isZero();
		clock.advance(250);
		assertThat(delay.millis()).isEqualTo(250);
		delay.recordTick();
		assertThat(delay.millis()).isZero();
	}

}
