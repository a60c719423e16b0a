package org.lovagevale.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lovagevale.base.AccountName;
import org.lovagevale.core.catalog.RateLimit;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more requests of an account in a window than the bound permits, whatever
 * fails, and against refusals below the limit while nothing fails.
 */
class AccountLimitSimulationTests {

	private static final AccountName LARGE = new AccountName("large");

	private static final AccountName SMALL = new AccountName("small");

	private static final AccountName TINY = new AccountName("tiny");

	private static final Map<AccountName, RateLimit> LIMITS = Map.of(LARGE, new RateLimit(400, 200), SMALL,
			new RateLimit(63, 63), TINY, new RateLimit(5, 2));

	/** Time after which the limiters grant their shares and the buckets are full. */
	private static final long WARM_UP_MS = 10_000;

	private static SimulatedRegions regions(int regions, int vms, long seed) {
		return new SimulatedRegions(regions, vms, AccountPolicy.DEFAULT, LIMITS, seed);
	}

	private static void assertBoundKept(SimulatedRegions regions) {
		LIMITS.keySet()
			.forEach((account) -> assertThat(regions.largestShareOfBound(account)).as("%s", account)
				.isLessThanOrEqualTo(1));
	}

	@Property(tries = 25, seed = "20261207")
	void boundHoldsForAnyDemandAndFaults(@ForAll long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		SimulatedRegions regions = regions(1 + random.nextInt(3), 2 + random.nextInt(5), seed);
		Map<String, Double> demand = new HashMap<>();
		for (int phase = 0; phase < 60; phase++) {
			changeDemand(random, regions, demand);
			injectFault(random, regions);
			regions.run(100 + random.nextInt(1_500),
					(vm, account) -> demand.getOrDefault(vm.name + " " + account, 0.0));
		}
		assertBoundKept(regions);
	}

	// Much of the demand alternates between a few VMs, which is what outdated figures
	// would favour.
	private static void changeDemand(SplittableRandom random, SimulatedRegions regions, Map<String, Double> demand) {
		for (SimulatedVm vm : regions.vms()) {
			LIMITS.forEach((account, limit) -> {
				boolean active = random.nextInt(4) == 0;
				demand.put(vm.name + " " + account, active ? random.nextDouble(2) * limit.ratePerSecond() : 0);
			});
		}
	}

	private static void injectFault(SplittableRandom random, SimulatedRegions regions) {
		List<SimulatedVm> vms = regions.vms();
		SimulatedVm any = vms.get(random.nextInt(vms.size()));
		switch (random.nextInt(13)) {
			case 0 -> any.partition = 1;
			case 1 -> vms.forEach((vm) -> vm.partition = vm.region.equals(any.region) ? 1 : 0);
			case 2 -> vms.forEach((vm) -> vm.partition = random.nextInt(2));
			case 3 -> regions.restart(any);
			case 4 -> vms.stream().filter((vm) -> vm.limiter.isOnDuty()).forEach(regions::restart);
			case 7 -> regions.restartPlanned(any);
			case 8 -> vms.stream().filter((vm) -> vm.limiter.isOnDuty()).forEach(regions::restartPlanned);
			case 5 -> any.pausedUntil = regions.now() + random.nextInt(4_000);
			case 6 -> vms.stream()
				.filter((vm) -> vm.limiter.isOnDuty())
				.forEach((vm) -> vm.pausedUntil = regions.now() + random.nextInt(3_000));
			default -> vms.forEach((vm) -> vm.partition = 0);
		}
	}

	@ParameterizedTest
	@CsvSource({ "1,0", "2,1", "3,2" })
	void boundHoldsWhileAllVmsAreIsolatedOrRestarted(long seed, int kind) {
		SimulatedRegions regions = regions(3, 20, seed);
		SimulatedRegions.Demand overload = (vm, account) -> LIMITS.get(account).ratePerSecond() / 4;
		regions.run(WARM_UP_MS, overload);
		for (int i = 0; i < 3; i++) {
			if (kind != 0) {
				regions.vms().forEach(regions::restart);
			}
			if (kind != 1) {
				int[] next = { 1 };
				regions.vms().forEach((vm) -> vm.partition = next[0]++);
			}
			regions.run((i == 0) ? 3_000 : 20_000, (vm, account) -> 0);
			regions.run(8_000, overload);
			regions.vms().forEach((vm) -> vm.partition = 0);
			regions.run(3_000, overload);
		}
		assertBoundKept(regions);
	}

	@ParameterizedTest
	@CsvSource({ "1,1", "3,1", "3,3" })
	void demandBelowTheLimitIsNotRefused(int regionCount, int regionsWithDemand) {
		SimulatedRegions regions = regions(regionCount, 5, 7);
		SimulatedRegions.Demand demand = (vm, account) -> (vm.region.value().compareTo("r" + regionsWithDemand) < 0)
				? 0.75 * LIMITS.get(account).ratePerSecond() / (5 * regionsWithDemand) : 0;
		regions.run(WARM_UP_MS, demand);
		long since = regions.now();
		regions.run(20_000, demand);
		assertThat(regions.refusedSince(SMALL, since)).isZero();
		assertThat(regions.refusedSince(LARGE, since)).isZero();
		assertBoundKept(regions);
	}

	@Test
	void demandThatMovesToAnotherRegionIsServedWithinASecond() {
		SimulatedRegions regions = regions(3, 5, 11);
		regions.run(WARM_UP_MS, (vm, account) -> demandIn("r0", vm, account));
		for (String region : List.of("r1", "r2", "r0", "r1")) {
			regions.run(1_000, (vm, account) -> demandIn(region, vm, account));
			long since = regions.now();
			regions.run(4_000, (vm, account) -> demandIn(region, vm, account));
			assertThat(regions.refusedSince(LARGE, since)).as("refused in %s", region).isZero();
			assertThat(regions.refusedSince(SMALL, since)).as("refused in %s", region).isZero();
		}
		assertBoundKept(regions);
	}

	private static double demandIn(String region, SimulatedVm vm, AccountName account) {
		return vm.region.value().equals(region) ? 0.7 * LIMITS.get(account).ratePerSecond() / 5 : 0;
	}

	@Test
	void accountBeyondItsLimitGetsItAndDoesNotAffectOthers() {
		SimulatedRegions regions = regions(3, 5, 13);
		SimulatedRegions.Demand demand = (vm, account) -> LIMITS.get(account).ratePerSecond()
				* (account.equals(LARGE) ? 10 : 0.7) / 15;
		regions.run(WARM_UP_MS, demand);
		long since = regions.now();
		regions.run(20_000, demand);
		assertThat(regions.admittedSince(LARGE, since)).isGreaterThan((long) (0.95 * 400 * 20));
		assertThat(regions.refusedSince(SMALL, since)).isZero();
		assertBoundKept(regions);
	}

	@Test
	void demandBelowTheLimitIsNotRefusedWhileALimiterIsReplacedAsPlanned() {
		SimulatedRegions regions = regions(3, 20, 19);
		SimulatedRegions.Demand demand = (vm, account) -> 0.5 * LIMITS.get(account).ratePerSecond() / 60;
		regions.run(WARM_UP_MS, demand);
		SimulatedVm leaving = regions.limiterOf("r0");
		assertThat(leaving).isNotNull();
		long since = regions.now();
		regions.restartPlanned(leaving);
		regions.run(6_000, demand);
		assertThat(regions.limiterOf("r0")).isNotNull().isNotSameAs(leaving);
		assertThat(regions.refusedSince(LARGE, since)).isZero();
		assertThat(regions.refusedSince(SMALL, since)).isZero();
	}

	@Test
	void limiterThatIsKilledOrSilentIsReplaced() {
		SimulatedRegions regions = regions(3, 5, 17);
		SimulatedRegions.Demand demand = (vm, account) -> 0.6 * LIMITS.get(account).ratePerSecond() / 15;
		regions.run(WARM_UP_MS, demand);
		SimulatedVm killed = regions.limiterOf("r0");
		SimulatedVm silent = regions.limiterOf("r1");
		assertThat(killed).isNotNull();
		assertThat(silent).isNotNull();
		regions.restart(killed);
		silent.pausedUntil = regions.now() + 6_000;
		regions.run(4_000, demand);
		long since = regions.now();
		regions.run(1_500, demand);
		assertThat(regions.refusedSince(LARGE, since)).isZero();
		assertBoundKept(regions);
	}

}
