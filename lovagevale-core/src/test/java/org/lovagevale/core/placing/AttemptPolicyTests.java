package org.lovagevale.core.placing;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lovagevale.core.catalog.RequestKind;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptPolicyTests {

	private static final long TIME = 1_000;

	@ParameterizedTest
	@EnumSource(value = SlotOutcome.class, names = { "FAILED", "LOST", "SERVED", "ABANDONED" })
	void requestThatMayHaveRunIsNotRepeatedUnlessIdempotent(SlotOutcome outcome) {
		AttemptPolicy once = new AttemptPolicy(RequestKind.NON_IDEMPOTENT, 3);
		once.recordSend();
		assertThat(once.nextStep(outcome, true, TIME)).isEqualTo(NextStep.ANSWER_FAILED);
		AttemptPolicy often = new AttemptPolicy(RequestKind.IDEMPOTENT, 3);
		often.recordSend();
		assertThat(often.nextStep(outcome, true, TIME)).isEqualTo(NextStep.SEND_AGAIN);
	}

	@ParameterizedTest
	@EnumSource(value = SlotOutcome.class, names = { "NOT_EXECUTED", "REPLACED", "UNREACHABLE", "UNUSED" })
	void requestThatDidNotRunIsSentAgain(SlotOutcome outcome) {
		AttemptPolicy policy = new AttemptPolicy(RequestKind.NON_IDEMPOTENT, 2);
		policy.recordSend();
		assertThat(policy.nextStep(outcome, true, TIME)).isEqualTo(NextStep.SEND_AGAIN);
	}

	@Test
	void refusalThatSaysNotRunIsFinalOnlyIfNoServerCanHaveRunIt() {
		AttemptPolicy policy = new AttemptPolicy(RequestKind.IDEMPOTENT, 2);
		policy.recordSend();
		assertThat(policy.nextStep(SlotOutcome.LOST, true, TIME)).isEqualTo(NextStep.SEND_AGAIN);
		policy.recordSend();
		assertThat(policy.nextStep(SlotOutcome.NOT_EXECUTED, true, TIME)).isEqualTo(NextStep.ANSWER_FAILED);
	}

	@Test
	void attemptsAreBounded() {
		AttemptPolicy policy = new AttemptPolicy(RequestKind.IDEMPOTENT, 2);
		policy.recordSend();
		policy.nextStep(SlotOutcome.NOT_EXECUTED, true, TIME);
		policy.recordSend();
		assertThat(policy.nextStep(SlotOutcome.NOT_EXECUTED, true, TIME)).isEqualTo(NextStep.ANSWER_NOT_RUN);
	}

	@Test
	void unreachableServersAreBounded() {
		AttemptPolicy policy = new AttemptPolicy(RequestKind.IDEMPOTENT, 2);
		NextStep step = NextStep.SEND_AGAIN;
		int tries = 0;
		while (step == NextStep.SEND_AGAIN) {
			tries++;
			step = policy.nextStep(SlotOutcome.UNREACHABLE, true, TIME);
		}
		assertThat(tries).isBetween(2, 5);
		assertThat(step).isEqualTo(NextStep.ANSWER_NOT_RUN);
	}

	@Test
	void requestWithoutItsBodyOrTimeIsNotSentAgain() {
		assertThat(new AttemptPolicy(RequestKind.IDEMPOTENT, 2).nextStep(SlotOutcome.UNREACHABLE, false, TIME))
			.isEqualTo(NextStep.ANSWER_NOT_RUN);
		assertThat(new AttemptPolicy(RequestKind.IDEMPOTENT, 2).nextStep(SlotOutcome.UNREACHABLE, true, 0))
			.isEqualTo(NextStep.ANSWER_NOT_RUN);
	}

}
