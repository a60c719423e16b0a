package org.lovagevale.core.request;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.decision.Decision;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that crashes one backend server after another.
 */
class CrashTests {

	private static final RequestHead HEAD = RequestHarness.requestHead("GET", "/vans", null, null);

	private final SingleServiceSettings settings = new SingleServiceSettings();

	@Test
	void answersOnlyAfterPeersAreNotified() {
		this.settings.retryPercent = 0;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.fleet.noticesSettled = false;
		harness.request(1, HEAD, "bad");
		assertThat(harness.failAttempt(1, 1, FailureKind.LOST_BEFORE_HEAD)).noneMatch(CrashTests::isRefusal);
		assertThat(harness.tickAfter(50)).noneMatch(CrashTests::isRefusal);
		harness.fleet.noticesSettled = true;
		assertThat(RequestHarness.firstRefusal(harness.tickAfter(50)).outcome()).isEqualTo(Outcome.UNKNOWN);
	}

	private static boolean isRefusal(Decision decision) {
		return LineFormatter.format(decision).startsWith("refuse");
	}

	@Test
	void retriesCrashingRequestOnceAsTrialAndThenQuarantinesIt() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, HEAD, "bad");
		assertThat(RequestHarness.dispatchedServers(harness.failAttempt(1, 1, FailureKind.LOST_BEFORE_HEAD)))
			.hasSize(1);
		assertThat(harness.fleet.runningTrials).contains(new Fingerprint("bad"));
		assertThat(RequestHarness.dispatchedServers(harness.request(2, HEAD, "bad"))).isEmpty();
		List<Decision> decisions = harness.failAttempt(1, 2, FailureKind.LOST_BEFORE_HEAD);
		assertThat(decisions).extracting(LineFormatter::format)
			.anyMatch((line) -> line.startsWith("refuse 1 ") && line.contains("UNKNOWN"))
			.anyMatch((line) -> line.startsWith("refuse 2 QUARANTINED NOT_RUN"));
		Refusal refusal = RequestHarness.firstRefusal(harness.request(3, HEAD, "bad"));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.QUARANTINED);
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(RequestHarness.dispatchedServers(harness.request(4, HEAD, "good"))).hasSize(1);
	}

	@Test
	void refusesWaitingTrialAfterAnotherTrialCrashedAServer() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.fleet.strikes.put(new Fingerprint("bad"), 1);
		harness.fleet.noticesSettled = false;
		harness.request(1, HEAD, "bad");
		harness.fleet.strikes.put(new Fingerprint("bad"), 2);
		Refusal refusal = RequestHarness.firstRefusal(harness.tickAfter(50));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.QUARANTINED);
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void startsTrialOfASuspectOnlyAfterPeersAreNotified() {
		this.settings.hedgeAfterMs = 10;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.fleet.strikes.put(new Fingerprint("bad"), 1);
		harness.fleet.noticesSettled = false;
		assertThat(RequestHarness.dispatchedServers(harness.request(1, HEAD, "bad"))).isEmpty();
		harness.fleet.noticesSettled = true;
		assertThat(RequestHarness.dispatchedServers(harness.tickAfter(50))).hasSize(1);
		assertThat(RequestHarness.dispatchedServers(harness.tickAfter(50))).isEmpty();
		harness.answerHead(1, 1, 200, null);
		assertThat(harness.fleet.runningTrials).isEmpty();
	}

	// Guards against ignoring strikes when a server loses several requests at once: a
	// request that crashed busy servers was then never detected.
	@Test
	void requestThatCrashesBusyServersIsRefusedAfterTwoAndTheOthersAreCleared() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, HEAD, "bad");
		harness.request(2, HEAD, "good");
		harness.request(3, HEAD, "fine");
		for (int id = 1; id <= 3; id++) {
			harness.failAttempt(id, 1, FailureKind.LOST_BEFORE_HEAD);
		}
		harness.failAttempt(1, 2, FailureKind.LOST_BEFORE_HEAD);
		harness.answerHead(2, 2, 200, null);
		harness.answerHead(3, 2, 200, null);
		assertThat(RequestHarness.firstRefusal(harness.request(4, HEAD, "bad")).reason())
			.isEqualTo(RefusalReason.QUARANTINED);
		assertThat(RequestHarness.dispatchedServers(harness.request(5, HEAD, "good"))).hasSize(1);
	}

	@Test
	void waitsForTheTrialOfARequestWithTheSameFingerprint() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, HEAD, "shared");
		harness.failAttempt(1, 1, FailureKind.LOST_BEFORE_HEAD);
		assertThat(harness.request(2, HEAD, "shared")).noneMatch(CrashTests::isRefusal);
		assertThat(RequestHarness.dispatchedServers(harness.answerHead(1, 2, 200, null))).hasSize(1);
	}

}
