package org.lovagevale.gateway.http;

import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.ManualClock;
import org.lovagevale.core.memory.HeldKind;
import org.lovagevale.core.memory.MemoryAccount;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses that are given up although their callers read them, and
 * against a sum of unread responses without a bound.
 */
class CallerBacklogTests {

	private static final int LIMIT_BYTES = 100_000;

	private final ManualClock clock = new ManualClock(1_000, 0);

	private final MemoryAccount account = new MemoryAccount(this.clock, LIMIT_BYTES);

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final AtomicInteger evictions = new AtomicInteger();

	private final CallerBacklog backlog = new CallerBacklog(this.account, this.evictions::incrementAndGet);

	@AfterEach
	void closedConnectionHoldsNothing() {
		this.channel.finishAndReleaseAll();
		update();
		assertThat(this.account.heldBytes()).isZero();
		assertThat(this.backlog.isEmpty()).isTrue();
	}

	@Test
	void backlogIsEvictedOnlyAfterNothingWasTakenForTwoSeconds() {
		write(LIMIT_BYTES);
		assertThat(this.account.heldBytes(HeldKind.RESPONSE_BODY)).isGreaterThanOrEqualTo(LIMIT_BYTES);
		assertEvictionsAfter(1_999, 0);
		assertEvictionsAfter(1, 1);
	}

	@Test
	void backlogOfACallerThatReadsIsKept() {
		write(LIMIT_BYTES);
		for (int i = 0; i < 10; i++) {
			this.clock.advance(1_900);
			this.backlog.recordTaken(this.clock.millis());
			assertEvictionsAfter(0, 0);
			assertThat(this.backlog.untakenMs(this.clock.millis())).isZero();
		}
	}

	@Test
	void backlogIsEvictedEarlierWhileTheAccountIsOverfull() {
		write(LIMIT_BYTES * 12 / 10);
		assertEvictionsAfter(499, 0);
		assertEvictionsAfter(1, 1);
	}

	@Test
	void backlogIsEvictedAtOnceIfTheLimitIsExceededByHalf() {
		write(LIMIT_BYTES * 15 / 10);
		assertEvictionsAfter(0, 1);
	}

	private void write(int bytes) {
		this.channel.write(Unpooled.wrappedBuffer(new byte[bytes]));
		update();
	}

	private void update() {
		this.backlog.update(this.channel, this.clock.millis());
	}

	private void assertEvictionsAfter(long millis, int expected) {
		this.clock.advance(millis);
		update();
		this.account.evictExcess();
		assertThat(this.evictions).hasValue(expected);
	}

}
