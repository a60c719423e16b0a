package org.lovagevale.core.request;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Replay;
import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.core.keys.IdempotencyKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against running a request with an idempotency key twice, and against reporting
 * it as not run although it may have run.
 */
class KeyTests {

	private static final StoredAnswer ANSWER = new StoredAnswer(201, "", new byte[0]);

	private final SingleServiceSettings settings = new SingleServiceSettings();

	private Outcome recordedOutcome(RequestHarness harness, String unique) {
		return harness.keys.outcomes.get(IdempotencyKey.parse(RequestHarness.KEY_PREFIX + unique));
	}

	@Test
	void requiresWellFormedKeyIfTheRouteRequiresKeys() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		assertThat(RequestHarness.firstRefusal(harness.request(1, "POST", "/vans")).reason())
			.isEqualTo(RefusalReason.KEY_REQUIRED);
		RequestHead head = RequestHarness.requestHead("POST", "/vans", null, "no key");
		assertThat(RequestHarness.firstRefusal(harness.request(2, head)).reason())
			.isEqualTo(RefusalReason.KEY_MALFORMED);
	}

	@Test
	void replaysTheAnswerInsteadOfRunningTheRequestAgain() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		assertThat(RequestHarness.dispatchedServers(harness.requestWithKey(1, "a"))).hasSize(1);
		assertThat(RequestHarness.firstRefusal(harness.requestWithKey(2, "a")).outcome()).isEqualTo(Outcome.RUNNING);
		assertThat(harness.answerHead(1, 1, 201, null)).extracting(LineFormatter::format)
			.containsExactly("pass-on 1/1 store=16384");
		harness.endAnswer(1, 1, ANSWER);
		harness.fleet.permission = WorkPermission.FENCED;
		assertThat(harness.requestWithKey(3, "a")).last().isInstanceOf(Replay.class);
	}

	@Test
	void recordsNotRunBeforeReportingIt() {
		this.settings.retryPercent = 0;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.requestWithKey(1, "a");
		assertThat(RequestHarness.firstRefusal(harness.rejectAttempt(1, 1)).outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(recordedOutcome(harness, "a")).isEqualTo(Outcome.NOT_RUN);
		harness.fleet.permission = WorkPermission.FENCED;
		Refusal refusal = RequestHarness.firstRefusal(harness.requestWithKey(2, "b"));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.FENCED);
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(recordedOutcome(harness, "b")).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void refusalBeforeKeyIsAdmittedReportsEarlierOutcome() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		String key = RequestHarness.KEY_PREFIX + "a";
		harness.request(1,
				RequestHarness.requestHead("POST", "/vans", SingleServiceSettings.RATE_LIMITED_ACCOUNT, key));
		harness.answerHead(1, 1, 201, null);
		harness.endAnswer(1, 1, null);
		Refusal refusal = RequestHarness.firstRefusal(harness.request(2,
				RequestHarness.requestHead("POST", "/vans", SingleServiceSettings.RATE_LIMITED_ACCOUNT, key)));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.ACCOUNT_OVER_RATE);
		assertThat(refusal.outcome()).isEqualTo(Outcome.RAN);
	}

	@Test
	void retriesFailedConnectAndReportsLostConnectionAsUnknown() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.requestWithKey(1, "a");
		assertThat(RequestHarness.dispatchedServers(harness.failAttempt(1, 1, FailureKind.NOT_CONNECTED))).hasSize(1);
		Refusal refusal = RequestHarness.firstRefusal(harness.failAttempt(1, 2, FailureKind.LOST_BEFORE_HEAD));
		assertThat(refusal.outcome()).isEqualTo(Outcome.UNKNOWN);
		assertThat(recordedOutcome(harness, "a")).isEqualTo(Outcome.UNKNOWN);
	}

	@Test
	void abortsAnswerThatTheServerDidNotComplete() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.requestWithKey(1, "a");
		harness.answerHead(1, 1, 201, null);
		assertThat(harness.failAttempt(1, 1, FailureKind.LOST_IN_BODY)).extracting(LineFormatter::format)
			.contains("abort 1");
		assertThat(recordedOutcome(harness, "a")).isEqualTo(Outcome.RAN);
	}

	@Test
	void recordsOutcomeWhenCallerDisconnects() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.requestWithKey(1, "sent");
		assertThat(harness.disconnectCaller(1)).extracting(LineFormatter::format).containsExactly("cancel 1/1");
		assertThat(recordedOutcome(harness, "sent")).isEqualTo(Outcome.UNKNOWN);
		harness.requestWithKey(2, "answered");
		harness.answerHead(2, 1, 201, null);
		harness.disconnectCaller(2);
		assertThat(recordedOutcome(harness, "answered")).isEqualTo(Outcome.RAN);
		this.settings.outOfService.addAll(List.of(0, 1, 2));
		this.settings.slots = 1;
		harness = RequestHarness.withWarmServers(this.settings);
		harness.requestWithKey(3, "other");
		harness.requestWithKey(4, "queued");
		harness.disconnectCaller(4);
		assertThat(recordedOutcome(harness, "queued")).isEqualTo(Outcome.NOT_RUN);
		assertThat(harness.logic.running()).isEqualTo(1);
	}

	@Test
	void queriesOutcomeOfKeyOfAnotherVmInsteadOfRunningTheRequest() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		RequestHead head = RequestHarness.requestHead("POST", "/vans", SingleServiceSettings.NORTH_ACCOUNT,
				"entry-02.1-1.0.a");
		assertThat(harness.request(1, head)).isEmpty();
		assertThat(harness.lines).contains("  . query entry-02.1-1.0.a [north]");
		harness.fleet.queriedOutcome = Outcome.RAN;
		List<Decision> decisions = harness.tickAfter(50);
		assertThat(RequestHarness.firstRefusal(decisions).reason()).isEqualTo(RefusalReason.KEY_ENDED);
		assertThat(RequestHarness.firstRefusal(decisions).outcome()).isEqualTo(Outcome.RAN);
	}

}
