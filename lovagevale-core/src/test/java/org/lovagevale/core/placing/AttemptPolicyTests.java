package org.lovagevale.core.placing;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lovagevale.core.catalog.RequestKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against executing a request twice that is not idempotent, and against unbounded
 * retries.
 */
class AttemptPolicyTests {

	private static final long TIME_LEFT_MS = 1_000;

	@ParameterizedTest
	@EnumSource(value = SlotOutcome.class, names = { "FAILED", "LOST", "SERVED", "ABANDONED" })
	void requestThatMayHaveBeenExecutedIsSentAgainOnlyIfIdempotent(SlotOutcome outcome) {
		AttemptPolicy nonIdempotent = new AttemptPolicy(RequestKind.NON_IDEMPOTENT, 3);
		nonIdempotent.recordSend();
		assertThat(nonIdempotent.nextStep(outcome, true, TIME_LEFT_MS)).isEqualTo(NextStep.ANSWER_FAILED);
		AttemptPolicy idempotent = new AttemptPolicy(RequestKind.IDEMPOTENT, 3);
		idempotent.recordSend();
		assertThat(idempotent.nextStep(outcome, true, TIME_LEFT_MS)).isEqualTo(NextStep.SEND_AGAIN);
	}

	@ParameterizedTest
	@EnumSource(value = SlotOutcome.class, names = { "NOT_EXECUTED", "REPLACED", "UNREACHABLE", "UNUSED" })
	void requestThatWasNotExecutedIsSentAgain(SlotOutcome outcome) {
		AttemptPolicy policy = new AttemptPolicy(RequestKind.NON_IDEMPOTENT, 2);
		policy.recordSend();
		assertThat(policy.nextStep(outcome, true, TIME_LEFT_MS)).isEqualTo(NextStep.SEND_AGAIN);
	}

	@Test
	void answersNotRunOnlyIfNoServerMayHaveExecutedTheRequest() {
		AttemptPolicy policy = new AttemptPolicy(RequestKind.IDEMPOTENT, 2);
		policy.recordSend();
		assertThat(policy.nextStep(SlotOutcome.LOST, true, TIME_LEFT_MS)).isEqualTo(NextStep.SEND_AGAIN);
		policy.recordSend();
		assertThat(policy.nextStep(SlotOutcome.NOT_EXECUTED, true, TIME_LEFT_MS)).isEqualTo(NextStep.ANSWER_FAILED);
	}

	@Test
	void numberOfSendsIsBounded() {
		AttemptPolicy policy = new AttemptPolicy(RequestKind.IDEMPOTENT, 2);
		policy.recordSend();
		policy.nextStep(SlotOutcome.NOT_EXECUTED, true, TIME_LEFT_MS);
		policy.recordSend();
		assertThat(policy.nextStep(SlotOutcome.NOT_EXECUTED, true, TIME_LEFT_MS)).isEqualTo(NextStep.ANSWER_NOT_RUN);
	}

	@Test
	void attemptsOnUnreachableServersAreBounded() {
		AttemptPolicy policy = new AttemptPolicy(RequestKind.IDEMPOTENT, 2);
		NextStep step = NextStep.SEND_AGAIN;
		int attempts = 0;
		while (step == NextStep.SEND_AGAIN) {
			attempts++;
			step = policy.nextStep(SlotOutcome.UNREACHABLE, true, TIME_LEFT_MS);
		}
		assertThat(attempts).isBetween(2, 5);
		assertThat(step).isEqualTo(NextStep.ANSWER_NOT_RUN);
	}

	@Test
	void requestWithoutBufferedBodyOrTimeLeftIsNotSentAgain() {
		assertThat(new AttemptPolicy(RequestKind.IDEMPOTENT, 2).nextStep(SlotOutcome.UNREACHABLE, false, TIME_LEFT_MS))
			.isEqualTo(NextStep.ANSWER_NOT_RUN);
		assertThat(new AttemptPolicy(RequestKind.IDEMPOTENT, 2).nextStep(SlotOutcome.UNREACHABLE, true, 0))
			.isEqualTo(NextStep.ANSWER_NOT_RUN);
	}

}
