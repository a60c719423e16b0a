package org.lovagevale.gateway.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.catalog.AccountTable;
import org.lovagevale.core.catalog.ClientAccount;
import org.lovagevale.core.catalog.RateLimit;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.RouteTable;
import org.lovagevale.core.catalog.ServingConfiguration;
import org.lovagevale.core.fleet.RendezvousHash;
import org.lovagevale.core.limit.AccountPolicy;
import org.lovagevale.core.limit.LimitDecision;
import org.lovagevale.core.limit.LimitPlan;
import org.lovagevale.core.message.AccountAsk;
import org.lovagevale.core.message.AccountDemand;
import org.lovagevale.core.message.AccountGrant;
import org.lovagevale.core.message.RegionMessage;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;
import org.lovagevale.gateway.GatewayMetrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against questions and reports that do not reach the limiter of a region, reports
 * that are passed back and forth, and messages in deployments without limits.
 */
class AccountLimitClientTests {

	private static final Region WEST = new Region("west");

	private static final VmName LIMITER = new VmName("vm-limiter");

	private static final VmName REMOTE = new VmName("vm-remote");

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final Map<RegionMessage, VmName> sent = new LinkedHashMap<>();

	private final Roster roster = new Roster(this.clock, member(new VmName("vm-self"), WEST, RosterPhase.STARTING));

	private final RemoteContacts contacts = new RemoteContacts(this.clock, new VmName("vm-self"), WEST);

	private final AccountLimitClient client = new AccountLimitClient(this.clock, this.roster, this.contacts,
			(to, message) -> this.sent.put(message, to), new GatewayMetrics(), new LimitPlan(AccountPolicy.DEFAULT, 2),
			new SeededRandom(1), false);

	private static RosterMember member(VmName vm, Region region, RosterPhase phase) {
		return new RosterMember(vm, "127.0.0.1", 1, 2, new FailureDomain("d"), region, 100, new Incarnation(1, 1), 1,
				phase);
	}

	private static ClientAccount account(double rate) {
		return new ClientAccount(new AccountName("a"), Set.of("k"), OptionalInt.empty(), new RateLimit(rate, rate),
				Set.of());
	}

	private void configure(double rate) {
		this.client.update(new ServingConfiguration(1, RouteTable.of(List.of()), Map.of(),
				new RequestLimits(1, 1, 1, 1), AccountTable.of(List.of(account(rate)))));
	}

	private void serveAlone() {
		this.roster.enterPhase(RosterPhase.SERVING);
		this.contacts.update(member(REMOTE, new Region("east"), RosterPhase.SERVING));
	}

	@Test
	void limiterOfTheRegionIsAskedUntilItIsSilent() {
		this.roster.recordHeartbeat(member(LIMITER, WEST, RosterPhase.SERVING));
		configure(100);
		LimitDecision decision = this.client.request(account(100));
		assertThat(this.sent).hasSize(1).containsValue(LIMITER);
		AccountAsk ask = (AccountAsk) this.sent.keySet().iterator().next();
		this.client.handleGrant(LIMITER, new AccountGrant(ask.number(), 1, 300, 0));
		assertThat(decision.isAdmitted()).isTrue();
		LimitDecision unanswered = this.client.request(account(100));
		assertThat(this.client.isWaiting()).isTrue();
		this.clock.advance(60);
		this.client.tickWaiting();
		assertThat(unanswered.isAdmitted() || unanswered.isRefused()).isTrue();
		this.client.request(account(100));
		assertThat(this.sent).hasSize(2);
		assertThat(this.client.isWaiting()).isFalse();
	}

	@Test
	void requestThatWaitsForALostLimiterIsDecidedByTheNext() {
		this.roster.recordHeartbeat(member(LIMITER, WEST, RosterPhase.SERVING));
		configure(100);
		LimitDecision decision = this.client.request(account(100));
		this.roster.recordConnectionLost(LIMITER);
		this.client.handleConnectionLost(LIMITER);
		assertThat(decision.isAdmitted() || decision.isRefused()).isTrue();
	}

	private static long score(VmName vm) {
		return RendezvousHash.score("account limits", vm.value());
	}

	@Test
	void newLimiterAsksItsPredecessorWhetherItHasStopped() {
		VmName other = IntStream.range(0, 100)
			.mapToObj((i) -> new VmName("vm-" + i))
			.filter((vm) -> score(vm) > score(new VmName("vm-self")))
			.findFirst()
			.orElseThrow();
		this.roster.recordHeartbeat(member(other, WEST, RosterPhase.SERVING));
		configure(100);
		this.client.tick();
		this.roster.enterPhase(RosterPhase.SERVING);
		assertThat(this.roster.limiter()).isEqualTo(this.roster.self());
		this.client.tick();
		assertThat(this.sent).containsExactly(Map.entry(new AccountAsk(-1, "a", 0, 0), other));
		this.client.handleGrant(other, new AccountGrant(-1, 0, 0, 0));
		this.sent.clear();
		this.clock.advance(100);
		this.client.tick();
		assertThat(this.sent).isEmpty();
	}

	@Test
	void reportOfAnotherRegionIsPassedOnToTheLimiterOnce() {
		this.roster.recordHeartbeat(member(LIMITER, WEST, RosterPhase.SERVING));
		configure(100);
		AccountDemand report = new AccountDemand("east", 1, true, List.of(), List.of());
		this.client.handleDemand(LIMITER, report);
		assertThat(this.sent).isEmpty();
		this.client.handleDemand(REMOTE, report);
		assertThat(this.sent).containsExactly(Map.entry(report, LIMITER));
	}

	@Test
	void limiterReportsToTheOtherRegionsOnlyWithLimits() {
		serveAlone();
		configure(0);
		this.client.tick();
		assertThat(this.client.request(account(0)).isAdmitted()).isTrue();
		assertThat(this.sent).isEmpty();
		configure(100);
		this.client.tick();
		// A report before all regions were heard would tell them that one is not
		// connected.
		assertThat(this.sent).isEmpty();
		this.client.handleDemand(REMOTE, new AccountDemand("east", 1, true, List.of(), List.of()));
		this.client.tick();
		assertThat(this.sent).hasSize(1).containsValue(REMOTE);
		assertThat(this.sent.keySet()).allMatch(AccountDemand.class::isInstance);
	}

	@Test
	void questionIsAnsweredWithoutAuthorityByAProcessThatIsNotTheLimiter() {
		configure(100);
		this.client.handleAsk(LIMITER, new AccountAsk(7, "a", 1, 100));
		assertThat(this.sent).containsExactly(Map.entry(new AccountGrant(7, 0, 0, 0), LIMITER));
	}

}
