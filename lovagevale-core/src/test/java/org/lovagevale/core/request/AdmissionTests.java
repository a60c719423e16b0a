package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.Refuse;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against unbounded queues, unfair shares and retries that amplify overload.
 */
class AdmissionTests {

	private final TestSettings settings = new TestSettings();

	AdmissionTests() {
		this.settings.servers = 1;
		this.settings.slots = 1;
	}

	@Test
	void refusesAccountOverItsRate() {
		Session session = Session.warm(this.settings);
		RequestHead head = Session.head("GET", "/vans", TestSettings.LIMITED, null);
		assertThat(Session.servers(session.request(1, head))).hasSize(1);
		Refusal refusal = Session.refusal(session.request(2, head));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.ACCOUNT_OVER_RATE);
		assertThat(refusal.retryAfterMs()).isBetween(900L, 1_000L);
		session.clock.advance(1_000);
		assertThat(session.request(3, head)).noneMatch(Refuse.class::isInstance);
	}

	@Test
	void dispatchesQueuedRequestsByPriorityThenArrival() {
		Session session = Session.warm(this.settings);
		session.request(1, "GET", "/vans");
		session.request(2, "GET", "/vans/archive");
		session.request(3, "GET", "/vans");
		session.requestWithKey(4, "a");
		session.request(5, "GET", "/vans");
		List<Long> order = new ArrayList<>();
		long running = 1;
		for (int i = 0; i < 4; i++) {
			session.answer(running, 1, 200, Session.WARM);
			running = Session.dispatch(session.end(running, 1, null)).id().value();
			order.add(running);
		}
		assertThat(order).containsExactly(4L, 3L, 5L, 2L);
	}

	@Test
	void limitsQueueLengthAndRefusesLowestPriority() {
		this.settings.queueLength = 2;
		Session session = Session.warm(this.settings);
		session.request(1, "GET", "/vans");
		session.request(2, "GET", "/vans/archive");
		session.request(3, "GET", "/vans");
		List<Decision> decisions = session.request(4, "GET", "/vans");
		assertThat(((Refuse) decisions.get(decisions.size() - 1)).id().value()).isEqualTo(2);
		assertThat(Session.refusal(decisions).outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(session.logic.queued()).isEqualTo(2);
	}

	@Test
	void refusesTheAccountOverItsFairShareFirst() {
		this.settings.queueLength = 4;
		Session session = Session.warm(this.settings);
		session.request(1, "GET", "/vans");
		session.request(2, "GET", "/vans/archive");
		for (int id = 3; id <= 5; id++) {
			session.request(id, Session.head("GET", "/vans", TestSettings.LOCAL, null));
		}
		List<Decision> decisions = session.request(6, Session.head("GET", "/vans", TestSettings.LOCAL, null));
		assertThat(Session.refusal(decisions).reason()).isEqualTo(RefusalReason.ACCOUNT_OVER_RATE);
		assertThat(((Refuse) decisions.get(decisions.size() - 1)).id().value()).isEqualTo(6);
	}

	@Test
	void limitsQueueingTimeByPolicyAndDeadline() {
		Session session = Session.warm(this.settings);
		session.request(1, "GET", "/vans");
		session.request(2, "GET", "/vans");
		RequestHead head = new RequestHead("GET", "/vans", "", null, null, 60, false, 0, "127.0.0.1");
		session.request(3, head);
		assertThat(Session.refusal(session.tickAfter(60)).reason()).isEqualTo(RefusalReason.DEADLINE_EXCEEDED);
		Refusal refusal = Session.refusal(session.tickAfter(150));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOADED);
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void endsRequestWhoseTimeoutTheNodeDidNotReport() {
		Session session = Session.warm(this.settings);
		session.request(1, "GET", "/vans");
		Refusal refusal = Session.refusal(session.tickAfter(1_100));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.DEADLINE_EXCEEDED);
		assertThat(refusal.outcome()).isEqualTo(Outcome.UNKNOWN);
		assertThat(session.logic.servers().get(0).inFlight()).isZero();
	}

	@Test
	void retriesTimeoutOnlyIfTheAttemptWasCutShort() {
		this.settings.servers = 2;
		Session session = Session.cold(this.settings);
		session.fleet.ownedMs.put("s0", 300L);
		session.request(1, "GET", "/vans");
		session.fleet.ownedMs.put("s1", 900L);
		session.tickAfter(300);
		assertThat(Session.servers(session.fail(1, 1, FailureKind.TIMED_OUT))).containsExactly("s1");
		Refusal early = Session.refusal(session.fail(1, 2, FailureKind.TIMED_OUT));
		assertThat(early.outcome()).isEqualTo(Outcome.UNKNOWN);
	}

	@Test
	void retriesOnAnotherServerWithinTheBudgetOnly() {
		this.settings.servers = 4;
		this.settings.slots = 3;
		Session session = Session.warm(this.settings);
		int retries = 0;
		for (int id = 1; id <= 100; id++) {
			String first = Session.servers(session.request(id, "GET", "/vans")).get(0);
			List<Decision> decisions = session.shed(id, 1);
			List<String> second = Session.servers(decisions);
			assertThat(second).doesNotContain(first);
			retries += second.size();
			if (!second.isEmpty()) {
				assertThat(Session.dispatch(decisions).retried()).isTrue();
				session.answer(id, 2, 200, Session.WARM);
				session.end(id, 2, null);
			}
		}
		// 10 initial tokens, and 1 more for every 10 requests.
		assertThat(retries).isBetween(18, 20);
	}

	@Test
	void doesNotRetryRequestThatIsItselfARetry() {
		this.settings.servers = 4;
		Session session = Session.warm(this.settings);
		RequestHead head = new RequestHead("GET", "/vans", "", null, null, 0, true, 0, "127.0.0.1");
		assertThat(Session.dispatch(session.request(1, head)).retried()).isTrue();
		Refusal refusal = Session.refusal(session.shed(1, 1));
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void doesNotRetryRequestWhoseBodyIsNotBuffered() {
		this.settings.servers = 4;
		Session session = Session.warm(this.settings);
		RequestHead head = new RequestHead("POST", "/vans/notes", "", null, null, 0, false, -1, "127.0.0.1");
		session.request(1, head);
		assertThat(Session.servers(session.fail(1, 1, FailureKind.NOT_CONNECTED))).hasSize(1);
		Refusal refusal = Session.refusal(session.shed(1, 2));
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void runsRequestThatIsNotIdempotentAtMostOnceWithoutKey() {
		this.settings.servers = 4;
		this.settings.hedgeAfterMs = 50;
		Session session = Session.warm(this.settings);
		session.request(1, "POST", "/vans/notes");
		assertThat(Session.servers(session.tickAfter(100))).isEmpty();
		assertThat(Session.servers(session.fail(1, 1, FailureKind.NOT_CONNECTED))).hasSize(1);
		Refusal refusal = Session.refusal(session.fail(1, 2, FailureKind.LOST_BEFORE_HEAD));
		assertThat(refusal.outcome()).isEqualTo(Outcome.UNKNOWN);
	}

	@Test
	void hedgesOnlyIfSetAndCancelsTheSlowerAttempt() {
		this.settings.servers = 4;
		Session plain = Session.warm(this.settings);
		plain.request(1, "GET", "/vans");
		assertThat(Session.servers(plain.tickAfter(100))).isEmpty();
		this.settings.hedgeAfterMs = 50;
		Session session = Session.warm(this.settings);
		Dispatch first = Session.dispatch(session.request(1, "GET", "/vans"));
		Dispatch second = Session.dispatch(session.tickAfter(50));
		assertThat(second.server()).isNotEqualTo(first.server());
		assertThat(session.answer(1, 2, 200, Session.WARM)).extracting(SessionText::of)
			.containsExactly("cancel 1/1", "pass-on 1/2 store=0");
		assertThat(session.answer(1, 1, 200, Session.WARM)).isEmpty();
		assertThat(session.fail(1, 1, FailureKind.LOST_BEFORE_HEAD)).isEmpty();
		assertThat(session.logic.lateEvents()).isEqualTo(2);
	}

	@Test
	void lowersTheConcurrencyLimitWhenServersShed() {
		this.settings.servers = 4;
		this.settings.slots = 3;
		this.settings.retryPercent = 0;
		Session session = Session.warm(this.settings);
		session.request(1, "GET", "/vans");
		session.shed(1, 1);
		int dispatched = 0;
		for (int id = 2; id <= 14; id++) {
			dispatched += Session.servers(session.request(id, "GET", "/vans")).size();
		}
		assertThat(dispatched).isEqualTo(10);
	}

}
