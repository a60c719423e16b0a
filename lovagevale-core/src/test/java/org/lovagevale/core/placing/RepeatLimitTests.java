package org.lovagevale.core.placing;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.Region;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Counts the arrivals beyond the first of each request over all regions, against the
 * limit agreed with the operators. Prints the measured shares for the documentation.
 */
class RepeatLimitTests {

	private static final int DURATION_MS = 40_000;

	private static final int SEEDS = 5;

	private static void report(String scenario, SimulatedFleet fleet, RepeatLedger ledger) {
		System.out.printf("repeats=%s worstShareOfLimit=%.2f repeats=%d arrived=%d served=%d%n", scenario,
				ledger.worstShareOfLimit(), ledger.repeats(), ledger.arrivedRequests(), fleet.served());
	}

	private static SimulatedFleet fleet(int seed, double requestsPerSecond) {
		SimulatedFleet fleet = new SimulatedFleet(seed);
		for (Region region : SimulatedFleet.REGIONS) {
			fleet.addCallers(region, requestsPerSecond, DURATION_MS);
		}
		return fleet;
	}

	@Test
	void successiveDispatchersOfARegionDoNotAddTheirConstants() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, 30);
			SimulatedFleet.REGIONS.forEach((region) -> fleet.fail(region, 0.6, 0));
			for (int atMs = 20_000; atMs < 30_000; atMs += 2_000) {
				fleet.after(atMs, () -> SimulatedFleet.REGIONS.forEach(fleet::replaceDispatcher));
			}
			RepeatLedger ledger = fleet.run(DURATION_MS);
			report("successive-dispatchers", fleet, ledger);
			assertThat(ledger.worstShareOfLimit()).as("seed %s", seed).isLessThanOrEqualTo(1);
		}
	}

	@Test
	void dispatchersThatChangeDuringAFailureStayWithinTheLimit() {
		for (int requestsPerSecond : new int[] { 5, 30, 150 }) {
			for (int seed = 1; seed <= SEEDS; seed++) {
				SimulatedFleet fleet = fleet(seed, requestsPerSecond);
				fleet.after(20_000, () -> SimulatedFleet.REGIONS.forEach((region) -> fleet.fail(region, 0.6, 0)));
				fleet.after(21_000, () -> SimulatedFleet.REGIONS.forEach(fleet::replaceDispatcher));
				RepeatLedger ledger = fleet.run(DURATION_MS);
				report("changed-during-failure-" + requestsPerSecond, fleet, ledger);
				assertThat(ledger.worstShareOfLimit()).as("seed %s", seed).isLessThanOrEqualTo(1);
			}
		}
	}

	@Test
	void relayAfterARejectionByAServerCountsAsRepeat() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedFleet fleet = fleet(seed, 30);
			fleet.serveOnlyIn(Set.of(SimulatedFleet.REGIONS.get(0), SimulatedFleet.REGIONS.get(1)));
			SimulatedFleet.REGIONS.forEach((region) -> fleet.fail(region, 0.6, 0));
			RepeatLedger ledger = fleet.run(DURATION_MS);
			report("relayed-after-rejection", fleet, ledger);
			assertThat(ledger.worstShareOfLimit()).as("seed %s", seed).isLessThanOrEqualTo(1);
		}
	}

}
