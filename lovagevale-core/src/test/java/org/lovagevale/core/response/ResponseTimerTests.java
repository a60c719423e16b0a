package org.lovagevale.core.response;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.lovagevale.core.response.LateResponseStep.AwaitMore;
import org.lovagevale.core.response.LateResponseStep.EndResponse;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against a response without end that is passed on for as long as it arrives, and
 * against a sound one that is cut off because its caller or this process was slow.
 */
class ResponseTimerTests {

	private static final long TIMEOUT_AT = 2_000;

	private static final long DEADLINE_AT = 4_000;

	/** Time after the timeout by which callers must have a final response. */
	private static final long PROMISED_MS = 500;

	private static final EndResponse OVERLONG = new EndResponse(LateResponseCause.OVERLONG);

	private static final EndResponse STALLED = new EndResponse(LateResponseCause.STALLED);

	private final ResponseTimer timer = new ResponseTimer(TIMEOUT_AT, DEADLINE_AT);

	// Returns when the response is ended if a part of it arrives at each interval, and
	// all decisions are made in time.
	private static long endOf(ResponseTimer timer, long now, long intervalMs) {
		long at = now;
		long contentAt = now;
		while (true) {
			for (; contentAt <= at; contentAt += intervalMs) {
				timer.recordContent(contentAt);
			}
			if (!(timer.next(at) instanceof AwaitMore step)) {
				return at;
			}
			at += step.delayMs();
		}
	}

	@Property(seed = "20261207", tries = 200)
	void responseWithoutEndIsEndedInTime(@ForAll @IntRange(min = 1, max = 199) int intervalMs,
			@ForAll @IntRange(min = 0, max = 99) int firstDelayMs) {
		long endedAt = endOf(new ResponseTimer(TIMEOUT_AT, DEADLINE_AT), TIMEOUT_AT + firstDelayMs, intervalMs);
		assertThat(endedAt).isEqualTo(TIMEOUT_AT + ResponseTimer.MAX_OVERRUN_MS).isLessThan(TIMEOUT_AT + PROMISED_MS);
	}

	@Test
	void responseThatStillArrivesIsAwaited() {
		this.timer.recordContent(TIMEOUT_AT);
		assertThat(this.timer.next(TIMEOUT_AT + 40)).isEqualTo(new AwaitMore(160));
		this.timer.recordContent(TIMEOUT_AT + 190);
		assertThat(this.timer.next(TIMEOUT_AT + 200)).isEqualTo(new AwaitMore(190));
		this.timer.recordContent(TIMEOUT_AT + 380);
		assertThat(this.timer.next(TIMEOUT_AT + 390)).isEqualTo(new AwaitMore(60));
		assertThat(this.timer.next(TIMEOUT_AT + 450)).isEqualTo(OVERLONG);
	}

	@Test
	void silentResponseIsEndedAtTheTimeout() {
		this.timer.recordContent(TIMEOUT_AT - 160);
		assertThat(this.timer.next(TIMEOUT_AT + 40)).isEqualTo(STALLED);
	}

	// Guards against a sound response that is cut off because its caller takes it slowly.
	@Test
	void timeInWhichTheCallerBlocksTheResponseIsNotCharged() {
		this.timer.recordContent(TIMEOUT_AT + 30);
		this.timer.recordBlocked(TIMEOUT_AT + 40);
		assertThat(this.timer.next(TIMEOUT_AT + 60)).isEqualTo(new AwaitMore(10));
		assertThat(this.timer.next(TIMEOUT_AT + 70)).isEqualTo(new AwaitMore(ResponseTimer.STALL_MS));
		assertThat(this.timer.isBlocked()).isTrue();
		this.timer.recordUnblocked(TIMEOUT_AT + 1_040);
		assertThat(this.timer.isBlocked()).isFalse();
		assertThat(endOf(this.timer, TIMEOUT_AT + 1_050, 10))
			.isEqualTo(TIMEOUT_AT + 1_000 + ResponseTimer.MAX_OVERRUN_MS);
	}

	@Test
	void timeBlockedBeforeTheTimeoutIsNotCreditedAfterIt() {
		this.timer.recordBlocked(TIMEOUT_AT - 1_000);
		this.timer.recordUnblocked(TIMEOUT_AT + 20);
		assertThat(endOf(this.timer, TIMEOUT_AT + 40, 10)).isEqualTo(TIMEOUT_AT + 20 + ResponseTimer.MAX_OVERRUN_MS);
	}

	@Test
	void blockedResponseIsEndedAfterTheDeadlineOfTheCaller() {
		this.timer.recordBlocked(TIMEOUT_AT);
		long at = TIMEOUT_AT + 40;
		while (this.timer.next(at) instanceof AwaitMore step) {
			at += step.delayMs();
		}
		assertThat(at).isEqualTo(DEADLINE_AT + ResponseTimer.MAX_OVERRUN_MS);
		assertThat(this.timer.next(at)).isEqualTo(new EndResponse(LateResponseCause.CALLER_DEADLINE));
		assertThat(LateResponseCause.CALLER_DEADLINE.isServerFailure()).isFalse();
	}

	// Guards against a caller that takes a response without end slowly, so that the
	// server
	// is hardly ever waited for.
	@Test
	void responseThatIsBlockedMostOfTheTimeIsEndedAfterTheDeadlineOfTheCaller() {
		long at = TIMEOUT_AT;
		this.timer.recordContent(at);
		while (this.timer.next(at) instanceof AwaitMore) {
			this.timer.recordBlocked(at + 1);
			this.timer.recordUnblocked(at + 50);
			at += 50;
		}
		assertThat(at).isEqualTo(DEADLINE_AT + ResponseTimer.MAX_OVERRUN_MS);
	}

	@Test
	void blockedResponseToACallerWithoutDeadlineIsNotEnded() {
		ResponseTimer unbounded = new ResponseTimer(TIMEOUT_AT, Long.MAX_VALUE);
		unbounded.recordBlocked(TIMEOUT_AT);
		assertThat(unbounded.next(1_000_000_000)).isInstanceOf(AwaitMore.class);
	}

	// Guards against a response that arrived while this process was paused and is ended
	// unread.
	@Test
	void responseIsReadAfterAPauseOfTheProcess() {
		this.timer.recordContent(TIMEOUT_AT - 500);
		assertThat(this.timer.next(TIMEOUT_AT + 1_000)).isEqualTo(new AwaitMore(ResponseTimer.READ_AFTER_PAUSE_MS));
		this.timer.recordContent(TIMEOUT_AT + 1_090);
		assertThat(this.timer.next(TIMEOUT_AT + 1_100)).isEqualTo(OVERLONG);
	}

	// Guards against a response without end that is awaited longer since the event loop
	// was a little late.
	@Property(seed = "20261207", tries = 200)
	void shortDelaysDoNotProlongAResponseWithoutEnd(@ForAll @IntRange(min = 0, max = 250) int delayMs) {
		long at = TIMEOUT_AT + 40 + delayMs;
		this.timer.recordContent(at);
		while (this.timer.next(at) instanceof AwaitMore step) {
			at += step.delayMs();
			this.timer.recordContent(at);
		}
		assertThat(at).isEqualTo(TIMEOUT_AT + ResponseTimer.MAX_OVERRUN_MS);
	}

	// Guards against a server that is not held responsible since its caller left, and
	// against one that is because its caller was slow.
	@Test
	void serverIsOverdueUnlessTheCallerHasBlockedTheResponse() {
		assertThat(this.timer.isServerOverdue(TIMEOUT_AT - 100)).isFalse();
		assertThat(this.timer.isServerOverdue(TIMEOUT_AT)).isTrue();
		this.timer.recordBlocked(TIMEOUT_AT);
		assertThat(this.timer.isServerOverdue(TIMEOUT_AT + 10)).isTrue();
		assertThat(this.timer.isServerOverdue(TIMEOUT_AT + 200)).isFalse();
		this.timer.recordUnblocked(TIMEOUT_AT + 200);
		assertThat(this.timer.isServerOverdue(TIMEOUT_AT + 300)).isFalse();
	}

	// Guards against a response without end that is awaited because its caller, which is
	// fast, blocks it for a moment again and again.
	@Property(seed = "20261207", tries = 200)
	void shortBlocksDoNotProlongAResponseWithoutEnd(@ForAll @IntRange(min = 1, max = 29) int blockMs,
			@ForAll @IntRange(min = 1, max = 99) int intervalMs) {
		ResponseTimer observed = new ResponseTimer(TIMEOUT_AT, DEADLINE_AT);
		long decisionAt = TIMEOUT_AT;
		boolean blocked = false;
		long now = TIMEOUT_AT;
		for (long changeAt = TIMEOUT_AT; decisionAt >= 0; now++) {
			if (now == changeAt) {
				observed.recordContent(now);
				if (blocked) {
					observed.recordUnblocked(now);
				}
				else {
					observed.recordBlocked(now);
				}
				blocked = !blocked;
				changeAt += blocked ? blockMs : intervalMs;
			}
			if (now == decisionAt) {
				decisionAt = (observed.next(now) instanceof AwaitMore step) ? now + step.delayMs() : -1;
			}
		}
		assertThat(now - 1).isBetween(TIMEOUT_AT + ResponseTimer.MAX_OVERRUN_MS, TIMEOUT_AT + PROMISED_MS - 1);
	}

	@Property(seed = "20261207", tries = 200)
	void serverGetsAllOfItsTimeWhateverTheCallerDoes(
			@ForAll @Size(max = 20) List<@IntRange(min = 1, max = 99) Integer> phasesMs) {
		ResponseTimer observed = new ResponseTimer(TIMEOUT_AT, Long.MAX_VALUE);
		long now = TIMEOUT_AT;
		long chargedMs = 0;
		boolean blocked = false;
		for (int phaseMs : phasesMs) {
			now += phaseMs;
			chargedMs += (blocked && phaseMs >= ResponseTimer.MIN_BLOCK_MS) ? 0 : phaseMs;
			observed.recordContent(now);
			boolean ended = observed.next(now) instanceof EndResponse;
			if (ended) {
				assertThat(chargedMs).isGreaterThanOrEqualTo(ResponseTimer.MAX_OVERRUN_MS);
				return;
			}
			boolean slow = blocked && phaseMs >= ResponseTimer.MIN_BLOCK_MS;
			assertThat(slow || chargedMs < ResponseTimer.MAX_OVERRUN_MS + (blocked ? ResponseTimer.MIN_BLOCK_MS : 0))
				.isTrue();
			blocked = !blocked;
			if (blocked) {
				observed.recordBlocked(now);
			}
			else {
				observed.recordUnblocked(now);
			}
		}
	}

	@Test
	void deadlineBeforeTheTimeoutIsRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> new ResponseTimer(TIMEOUT_AT, TIMEOUT_AT - 1));
		assertThatIllegalArgumentException().isThrownBy(() -> new AwaitMore(0));
	}

}
