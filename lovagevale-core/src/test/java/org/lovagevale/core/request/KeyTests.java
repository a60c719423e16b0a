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
 * Guards against a request with an idempotency key that runs twice or is wrongly reported
 * as not run.
 */
class KeyTests {

	private static final StoredAnswer ANSWER = new StoredAnswer(201, "", new byte[0]);

	private final TestSettings settings = new TestSettings();

	private Outcome recorded(Session session, String unique) {
		return session.keys.outcomes.get(IdempotencyKey.parse(Session.KEY_PREFIX + unique));
	}

	@Test
	void requiresWellFormedKeyIfTheRouteRequiresKeys() {
		Session session = Session.warm(this.settings);
		assertThat(Session.refusal(session.request(1, "POST", "/vans")).reason()).isEqualTo(RefusalReason.KEY_REQUIRED);
		RequestHead head = Session.head("POST", "/vans", null, "no key");
		assertThat(Session.refusal(session.request(2, head)).reason()).isEqualTo(RefusalReason.KEY_MALFORMED);
	}

	@Test
	void replaysTheAnswerAndNeverRunsTwice() {
		Session session = Session.warm(this.settings);
		assertThat(Session.servers(session.requestWithKey(1, "a"))).hasSize(1);
		assertThat(Session.refusal(session.requestWithKey(2, "a")).outcome()).isEqualTo(Outcome.RUNNING);
		assertThat(session.answer(1, 1, 201, null)).extracting(SessionText::of)
			.containsExactly("pass-on 1/1 store=16384");
		session.end(1, 1, ANSWER);
		session.fleet.permission = WorkPermission.FENCED;
		assertThat(session.requestWithKey(3, "a")).last().isInstanceOf(Replay.class);
	}

	@Test
	void recordsNotRunBeforeReportingIt() {
		this.settings.retryPercent = 0;
		Session session = Session.warm(this.settings);
		session.requestWithKey(1, "a");
		assertThat(Session.refusal(session.shed(1, 1)).outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(recorded(session, "a")).isEqualTo(Outcome.NOT_RUN);
		session.fleet.permission = WorkPermission.FENCED;
		Refusal refusal = Session.refusal(session.requestWithKey(2, "b"));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.FENCED);
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(recorded(session, "b")).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void refusalBeforeAdmissionReportsEarlierOutcome() {
		Session session = Session.warm(this.settings);
		String key = Session.KEY_PREFIX + "a";
		session.request(1, Session.head("POST", "/vans", TestSettings.LIMITED, key));
		session.answer(1, 1, 201, null);
		session.end(1, 1, null);
		Refusal refusal = Session.refusal(session.request(2, Session.head("POST", "/vans", TestSettings.LIMITED, key)));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.ACCOUNT_OVER_RATE);
		assertThat(refusal.outcome()).isEqualTo(Outcome.RAN);
	}

	@Test
	void lostConnectionIsUnknownAndRefusedConnectionIsRetried() {
		Session session = Session.warm(this.settings);
		session.requestWithKey(1, "a");
		assertThat(Session.servers(session.fail(1, 1, FailureKind.NOT_CONNECTED))).hasSize(1);
		Refusal refusal = Session.refusal(session.fail(1, 2, FailureKind.LOST_BEFORE_HEAD));
		assertThat(refusal.outcome()).isEqualTo(Outcome.UNKNOWN);
		assertThat(recorded(session, "a")).isEqualTo(Outcome.UNKNOWN);
	}

	@Test
	void interruptedAnswerIsAborted() {
		Session session = Session.warm(this.settings);
		session.requestWithKey(1, "a");
		session.answer(1, 1, 201, null);
		assertThat(session.fail(1, 1, FailureKind.LOST_IN_BODY)).extracting(SessionText::of).contains("abort 1");
		assertThat(recorded(session, "a")).isEqualTo(Outcome.RAN);
	}

	@Test
	void recordsKnownOutcomeWhenCallerDisconnects() {
		Session session = Session.warm(this.settings);
		session.requestWithKey(1, "sent");
		assertThat(session.callerGone(1)).extracting(SessionText::of).containsExactly("cancel 1/1");
		assertThat(recorded(session, "sent")).isEqualTo(Outcome.UNKNOWN);
		session.requestWithKey(2, "answered");
		session.answer(2, 1, 201, null);
		session.callerGone(2);
		assertThat(recorded(session, "answered")).isEqualTo(Outcome.RAN);
		this.settings.out.addAll(List.of(0, 1, 2));
		this.settings.slots = 1;
		session = Session.warm(this.settings);
		session.requestWithKey(3, "other");
		session.requestWithKey(4, "queued");
		session.callerGone(4);
		assertThat(recorded(session, "queued")).isEqualTo(Outcome.NOT_RUN);
		assertThat(session.logic.running()).isEqualTo(1);
	}

	@Test
	void queriesOwnerOfForeignKeyAndNeverRunsRequest() {
		Session session = Session.warm(this.settings);
		RequestHead head = Session.head("POST", "/vans", TestSettings.LOCAL, "entry-02.1-1.0.a");
		assertThat(session.request(1, head)).isEmpty();
		assertThat(session.lines).contains("  . query entry-02.1-1.0.a [north]");
		session.fleet.outcome = Outcome.RAN;
		List<Decision> decisions = session.tickAfter(50);
		assertThat(Session.refusal(decisions).reason()).isEqualTo(RefusalReason.KEY_ENDED);
		assertThat(Session.refusal(decisions).outcome()).isEqualTo(Outcome.RAN);
	}

}
