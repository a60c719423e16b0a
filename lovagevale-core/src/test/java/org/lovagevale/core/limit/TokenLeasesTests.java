package org.lovagevale.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.core.catalog.RateLimit;
import org.lovagevale.core.message.AccountAsk;
import org.lovagevale.core.message.AccountGrant;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against tokens that are used twice or after their lease, and against requests
 * that wait without end.
 */
class TokenLeasesTests implements LimiterLink {

	private static final AccountName ACCOUNT = new AccountName("a");

	private static final RateLimit LIMIT = new RateLimit(100, 100);

	private final List<AccountAsk> asks = new ArrayList<>();

	private final TokenLeases leases = new TokenLeases(this, new LimitPlan(AccountPolicy.DEFAULT, 3),
			new SeededRandom(1), (account, outcome) -> {
			});

	private boolean silent;

	@Override
	public void ask(AccountAsk ask) {
		this.asks.add(ask);
	}

	@Override
	public void limiterSilent(long waitedMs) {
		this.silent = true;
	}

	@Override
	public int regionVms() {
		return 50;
	}

	private LimitDecision request(long now) {
		return this.leases.request(ACCOUNT, LIMIT, now);
	}

	private void answer(AccountAsk ask, int tokens, int leaseMs, long now) {
		this.leases.handleGrant(new AccountGrant(ask.number(), tokens, leaseMs, 40), now);
	}

	@Test
	void waitingRequestsAreServedInOrderAndTheRestIsRefused() {
		LimitDecision first = request(0);
		LimitDecision second = request(0);
		assertThat(this.asks).hasSize(1);
		answer(this.asks.getFirst(), 1, 300, 2);
		assertThat(first.isAdmitted()).isTrue();
		assertThat(this.asks).hasSize(2);
		answer(this.asks.getLast(), 0, 300, 4);
		assertThat(second.isRefused()).isTrue();
		assertThat(second.retryAfterMs()).isPositive();
		assertThat(request(5).isRefused()).isTrue();
		assertThat(this.asks).hasSize(2);
	}

	@Test
	void answerIsUsedOnceAndNotBeyondWhatWasAskedFor() {
		LimitDecision first = request(0);
		answer(this.asks.getFirst(), 1_000, 300, 2);
		answer(this.asks.getFirst(), 1_000, 300, 3);
		assertThat(first.isAdmitted()).isTrue();
		assertThat(request(4).isAdmitted()).isFalse();
	}

	@Test
	void leaseCountsFromTheQuestion() {
		LimitDecision first = request(0);
		this.leases.tick(60);
		assertThat(first.isAdmitted()).isFalse();
		answer(this.asks.getFirst(), 1, 300, 299);
		assertThat(request(299).isAdmitted()).isTrue();
		request(400);
		this.leases.tick(460);
		answer(this.asks.getLast(), 1, 300, 700);
		assertThat(request(701).isAdmitted()).isFalse();
	}

	@Test
	void returnedTokenIsUsedOnceAndOnlyWithinItsLease() {
		LimitDecision first = request(0);
		answer(this.asks.getFirst(), 1, 300, 2);
		first.returnToken();
		first.returnToken();
		LimitDecision second = request(10);
		assertThat(second.isAdmitted()).isTrue();
		assertThat(request(20).isAdmitted()).isFalse();
		second.returnToken();
		assertThat(this.asks).hasSize(2);
		this.leases.tick(80);
		assertThat(request(310).isAdmitted()).isFalse();
	}

	@Test
	void requestOfASilentLimiterIsDecidedLocally() {
		LimitDecision decision = request(0);
		this.leases.tick(59);
		assertThat(this.leases.isWaiting()).isTrue();
		this.leases.tick(60);
		assertThat(decision.isAdmitted() || decision.isRefused()).isTrue();
		assertThat(this.leases.isWaiting()).isFalse();
		assertThat(this.silent).isTrue();
	}

	@Test
	void requestIsAskedForAgainAfterTheLossOfTheLimiter() {
		LimitDecision decision = request(0);
		this.leases.limiterLost(10);
		assertThat(this.asks).hasSize(2);
		answer(this.asks.getLast(), 1, 300, 12);
		assertThat(decision.isAdmitted()).isTrue();
	}

	@Test
	void requestOfAnAccountThatLosesItsLimitIsAdmitted() {
		LimitDecision decision = request(0);
		this.leases.retain(Map.of());
		assertThat(decision.isAdmitted()).isTrue();
		answer(this.asks.getFirst(), 1, 300, 2);
	}

}
