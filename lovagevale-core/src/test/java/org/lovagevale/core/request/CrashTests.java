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

	private static final RequestHead HEAD = Session.head("GET", "/vans", null, null);

	private final TestSettings settings = new TestSettings();

	@Test
	void holdsTheAnswerUntilPeersAreNotified() {
		this.settings.retryPercent = 0;
		Session session = Session.warm(this.settings);
		session.fleet.noticesSettled = false;
		session.request(1, HEAD, "bad");
		assertThat(session.fail(1, 1, FailureKind.LOST_BEFORE_HEAD)).noneMatch(CrashTests::isAnswer);
		assertThat(session.tickAfter(50)).noneMatch(CrashTests::isAnswer);
		session.fleet.noticesSettled = true;
		assertThat(Session.refusal(session.tickAfter(50)).outcome()).isEqualTo(Outcome.UNKNOWN);
	}

	private static boolean isAnswer(Decision decision) {
		return SessionText.of(decision).startsWith("refuse");
	}

	@Test
	void retriesOnceAsTrialAndThenQuarantines() {
		Session session = Session.warm(this.settings);
		session.request(1, HEAD, "bad");
		assertThat(Session.servers(session.fail(1, 1, FailureKind.LOST_BEFORE_HEAD))).hasSize(1);
		assertThat(session.fleet.trials).contains(new Fingerprint("bad"));
		assertThat(Session.servers(session.request(2, HEAD, "bad"))).isEmpty();
		List<Decision> decisions = session.fail(1, 2, FailureKind.LOST_BEFORE_HEAD);
		assertThat(decisions).extracting(SessionText::of)
			.anyMatch((line) -> line.startsWith("refuse 1 ") && line.contains("UNKNOWN"))
			.anyMatch((line) -> line.startsWith("refuse 2 QUARANTINED NOT_RUN"));
		Refusal refusal = Session.refusal(session.request(3, HEAD, "bad"));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.QUARANTINED);
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(Session.servers(session.request(4, HEAD, "good"))).hasSize(1);
	}

	@Test
	void refusesWaitingTrialOnceAnotherTrialCrashedAServer() {
		Session session = Session.warm(this.settings);
		session.fleet.strikes.put(new Fingerprint("bad"), 1);
		session.fleet.noticesSettled = false;
		session.request(1, HEAD, "bad");
		session.fleet.strikes.put(new Fingerprint("bad"), 2);
		Refusal refusal = Session.refusal(session.tickAfter(50));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.QUARANTINED);
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void startsTrialOfASuspectOnlyAfterPeersAreNotified() {
		this.settings.hedgeAfterMs = 10;
		Session session = Session.warm(this.settings);
		session.fleet.strikes.put(new Fingerprint("bad"), 1);
		session.fleet.noticesSettled = false;
		assertThat(Session.servers(session.request(1, HEAD, "bad"))).isEmpty();
		session.fleet.noticesSettled = true;
		assertThat(Session.servers(session.tickAfter(50))).hasSize(1);
		assertThat(Session.servers(session.tickAfter(50))).isEmpty();
		session.answer(1, 1, 200, null);
		assertThat(session.fleet.trials).isEmpty();
	}

	// Guards against exempting servers that lose several requests at once from strikes:
	// such an exemption left a request that crashes busy servers undetected.
	@Test
	void requestThatCrashesBusyServersIsRefusedAfterTwoAndTheOthersAreCleared() {
		Session session = Session.warm(this.settings);
		session.request(1, HEAD, "bad");
		session.request(2, HEAD, "good");
		session.request(3, HEAD, "fine");
		for (int id = 1; id <= 3; id++) {
			session.fail(id, 1, FailureKind.LOST_BEFORE_HEAD);
		}
		session.fail(1, 2, FailureKind.LOST_BEFORE_HEAD);
		session.answer(2, 2, 200, null);
		session.answer(3, 2, 200, null);
		assertThat(Session.refusal(session.request(4, HEAD, "bad")).reason()).isEqualTo(RefusalReason.QUARANTINED);
		assertThat(Session.servers(session.request(5, HEAD, "good"))).hasSize(1);
	}

	@Test
	void waitsForTheTrialOfTheSameRequest() {
		Session session = Session.warm(this.settings);
		session.request(1, HEAD, "shared");
		session.fail(1, 1, FailureKind.LOST_BEFORE_HEAD);
		assertThat(session.request(2, HEAD, "shared")).noneMatch(CrashTests::isAnswer);
		assertThat(Session.servers(session.answer(1, 2, 200, null))).hasSize(1);
	}

}
