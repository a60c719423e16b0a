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
 * Guards against unbounded queues, against accounts that take the share of others and
 * against retries that amplify overload.
 */
class AdmissionTests {

	private final SingleServiceSettings settings = new SingleServiceSettings();

	AdmissionTests() {
		this.settings.servers = 1;
		this.settings.slots = 1;
	}

	@Test
	void refusesAccountOverItsRate() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		RequestHead head = RequestHarness.requestHead("GET", "/vans", SingleServiceSettings.RATE_LIMITED_ACCOUNT, null);
		assertThat(RequestHarness.dispatchedServers(harness.request(1, head))).hasSize(1);
		Refusal refusal = RequestHarness.firstRefusal(harness.request(2, head));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.ACCOUNT_OVER_RATE);
		assertThat(refusal.retryAfterMs()).isBetween(900L, 1_000L);
		harness.clock.advance(1_000);
		assertThat(harness.request(3, head)).noneMatch(Refuse.class::isInstance);
	}

	@Test
	void dispatchesQueuedRequestsByPriorityThenArrival() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "GET", "/vans");
		harness.request(2, "GET", "/vans/archive");
		harness.request(3, "GET", "/vans");
		harness.requestWithKey(4, "a");
		harness.request(5, "GET", "/vans");
		List<Long> order = new ArrayList<>();
		long running = 1;
		for (int i = 0; i < 4; i++) {
			harness.answerHead(running, 1, 200, RequestHarness.WARM_REPORT);
			running = RequestHarness.firstDispatch(harness.endAnswer(running, 1, null)).id().value();
			order.add(running);
		}
		assertThat(order).containsExactly(4L, 3L, 5L, 2L);
	}

	@Test
	void limitsQueueLengthByRefusingTheLowestPriority() {
		this.settings.queueLength = 2;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "GET", "/vans");
		harness.request(2, "GET", "/vans/archive");
		harness.request(3, "GET", "/vans");
		List<Decision> decisions = harness.request(4, "GET", "/vans");
		assertThat(((Refuse) decisions.get(decisions.size() - 1)).id().value()).isEqualTo(2);
		assertThat(RequestHarness.firstRefusal(decisions).outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(harness.logic.queued()).isEqualTo(2);
	}

	@Test
	void refusesTheAccountOverItsFairShareFirst() {
		this.settings.queueLength = 4;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "GET", "/vans");
		harness.request(2, "GET", "/vans/archive");
		for (int id = 3; id <= 5; id++) {
			harness.request(id, RequestHarness.requestHead("GET", "/vans", SingleServiceSettings.NORTH_ACCOUNT, null));
		}
		List<Decision> decisions = harness.request(6,
				RequestHarness.requestHead("GET", "/vans", SingleServiceSettings.NORTH_ACCOUNT, null));
		assertThat(RequestHarness.firstRefusal(decisions).reason()).isEqualTo(RefusalReason.ACCOUNT_OVER_RATE);
		assertThat(((Refuse) decisions.get(decisions.size() - 1)).id().value()).isEqualTo(6);
	}

	@Test
	void limitsQueueingTimeByPolicyAndDeadline() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "GET", "/vans");
		harness.request(2, "GET", "/vans");
		RequestHead head = new RequestHead("GET", "/vans", "", null, null, 60, false, 0, "127.0.0.1");
		harness.request(3, head);
		assertThat(RequestHarness.firstRefusal(harness.tickAfter(60)).reason())
			.isEqualTo(RefusalReason.DEADLINE_EXCEEDED);
		Refusal refusal = RequestHarness.firstRefusal(harness.tickAfter(150));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOADED);
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void endsRequestAtItsTimeoutWithoutFailureEvent() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "GET", "/vans");
		Refusal refusal = RequestHarness.firstRefusal(harness.tickAfter(1_100));
		assertThat(refusal.reason()).isEqualTo(RefusalReason.DEADLINE_EXCEEDED);
		assertThat(refusal.outcome()).isEqualTo(Outcome.UNKNOWN);
		assertThat(harness.logic.servers().get(0).inFlight()).isZero();
	}

	@Test
	void retriesAttemptThatTimedOutOnlyIfItsTimeoutWasShortened() {
		this.settings.servers = 2;
		RequestHarness harness = RequestHarness.withUnknownServers(this.settings);
		harness.fleet.ownedMsByServer.put("s0", 300L);
		harness.request(1, "GET", "/vans");
		harness.fleet.ownedMsByServer.put("s1", 900L);
		harness.tickAfter(300);
		assertThat(RequestHarness.dispatchedServers(harness.failAttempt(1, 1, FailureKind.TIMED_OUT)))
			.containsExactly("s1");
		Refusal refusal = RequestHarness.firstRefusal(harness.failAttempt(1, 2, FailureKind.TIMED_OUT));
		assertThat(refusal.outcome()).isEqualTo(Outcome.UNKNOWN);
	}

	@Test
	void retriesOnAnotherServerOnlyWithinTheBudget() {
		this.settings.servers = 4;
		this.settings.slots = 3;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		int retries = 0;
		for (int id = 1; id <= 100; id++) {
			String firstServer = RequestHarness.dispatchedServers(harness.request(id, "GET", "/vans")).get(0);
			List<Decision> decisions = harness.rejectAttempt(id, 1);
			List<String> retryServers = RequestHarness.dispatchedServers(decisions);
			assertThat(retryServers).doesNotContain(firstServer);
			retries += retryServers.size();
			if (!retryServers.isEmpty()) {
				assertThat(RequestHarness.firstDispatch(decisions).retried()).isTrue();
				harness.answerHead(id, 2, 200, RequestHarness.WARM_REPORT);
				harness.endAnswer(id, 2, null);
			}
		}
		// The retry budget starts with 10 tokens and gains 1 for every 10 requests.
		assertThat(retries).isBetween(18, 20);
	}

	@Test
	void doesNotRetryRequestThatCallerMarkedAsRetry() {
		this.settings.servers = 4;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		RequestHead head = new RequestHead("GET", "/vans", "", null, null, 0, true, 0, "127.0.0.1");
		assertThat(RequestHarness.firstDispatch(harness.request(1, head)).retried()).isTrue();
		Refusal refusal = RequestHarness.firstRefusal(harness.rejectAttempt(1, 1));
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void doesNotRetryRequestWhoseBodyIsNotBuffered() {
		this.settings.servers = 4;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		RequestHead head = new RequestHead("POST", "/vans/notes", "", null, null, 0, false, -1, "127.0.0.1");
		harness.request(1, head);
		assertThat(RequestHarness.dispatchedServers(harness.failAttempt(1, 1, FailureKind.NOT_CONNECTED))).hasSize(1);
		Refusal refusal = RequestHarness.firstRefusal(harness.rejectAttempt(1, 2));
		assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void runsRequestThatIsNotIdempotentAtMostOnceWithoutKey() {
		this.settings.servers = 4;
		this.settings.hedgeAfterMs = 50;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "POST", "/vans/notes");
		assertThat(RequestHarness.dispatchedServers(harness.tickAfter(100))).isEmpty();
		assertThat(RequestHarness.dispatchedServers(harness.failAttempt(1, 1, FailureKind.NOT_CONNECTED))).hasSize(1);
		Refusal refusal = RequestHarness.firstRefusal(harness.failAttempt(1, 2, FailureKind.LOST_BEFORE_HEAD));
		assertThat(refusal.outcome()).isEqualTo(Outcome.UNKNOWN);
	}

	@Test
	void hedgesOnlyIfConfiguredAndCancelsTheSlowerAttempt() {
		this.settings.servers = 4;
		RequestHarness withoutHedging = RequestHarness.withWarmServers(this.settings);
		withoutHedging.request(1, "GET", "/vans");
		assertThat(RequestHarness.dispatchedServers(withoutHedging.tickAfter(100))).isEmpty();
		this.settings.hedgeAfterMs = 50;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		Dispatch first = RequestHarness.firstDispatch(harness.request(1, "GET", "/vans"));
		Dispatch second = RequestHarness.firstDispatch(harness.tickAfter(50));
		assertThat(second.server()).isNotEqualTo(first.server());
		assertThat(harness.answerHead(1, 2, 200, RequestHarness.WARM_REPORT)).extracting(LineFormatter::format)
			.containsExactly("cancel 1/1", "pass-on 1/2 store=0");
		assertThat(harness.answerHead(1, 1, 200, RequestHarness.WARM_REPORT)).isEmpty();
		assertThat(harness.failAttempt(1, 1, FailureKind.LOST_BEFORE_HEAD)).isEmpty();
		assertThat(harness.logic.lateEvents()).isEqualTo(2);
	}

	@Test
	void lowersTheConcurrencyLimitWhenServersRejectRequests() {
		this.settings.servers = 4;
		this.settings.slots = 3;
		this.settings.retryPercent = 0;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "GET", "/vans");
		harness.rejectAttempt(1, 1);
		int dispatched = 0;
		for (int id = 2; id <= 14; id++) {
			dispatched += RequestHarness.dispatchedServers(harness.request(id, "GET", "/vans")).size();
		}
		assertThat(dispatched).isEqualTo(10);
	}

}
