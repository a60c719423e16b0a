package org.lovagevale.core.placing;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares placement strategies in simulated time, by the share of requests that are
 * answered within their target latency. Prints the measured shares for the documentation.
 */
class PlacingUnderLoadTests {

	private static final int SERVERS = 6;

	private static final int ENTRY_VMS = 6;

	private static final int DURATION_MS = 60_000;

	private static final int SEEDS = 3;

	private static final int CHECK_INTERVAL_MS = 60;

	private static final int LONG_CHECK_INTERVAL_MS = 200;

	// Prints the figures of a strategy, averaged over all seeds, and returns the share of
	// requests answered within the target latency.
	private static double averageInTimeShare(String strategy, double requestsPerSecond, int dispatchers,
			int checkIntervalMs, boolean checksOnDemand) {
		double inTime = 0;
		double refused = 0;
		double late = 0;
		double checks = 0;
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedRegion region = new SimulatedRegion(seed, SERVERS, dispatchers, checkIntervalMs);
			if (checksOnDemand) {
				region.withChecksOnDemand();
			}
			inTime += region.simulate(requestsPerSecond, DURATION_MS);
			refused += region.refusedShare();
			late += region.lateShare();
			checks += region.checksPerRequest();
		}
		System.out.printf("placing=%s perSecond=%.0f inTime=%.3f late=%.3f refused=%.3f checks=%.1f%n", strategy,
				requestsPerSecond, inTime / SEEDS, late / SEEDS, refused / SEEDS, checks / SEEDS);
		return inTime / SEEDS;
	}

	@Test
	void sharedQueueServesMoreInTimeThanOneQueuePerVm() {
		for (double requestsPerSecond : new double[] { 20, 40, 55, 70 }) {
			double queuePerVm = averageInTimeShare("each-vm", requestsPerSecond, ENTRY_VMS, 0, false);
			double sharedQueue = averageInTimeShare("one-queue", requestsPerSecond, 1, 0, false);
			double sharedWithChecks = averageInTimeShare("one-queue-checked", requestsPerSecond, 1, CHECK_INTERVAL_MS,
					false);
			assertThat(sharedQueue).as("%s requests per second", requestsPerSecond).isGreaterThan(queuePerVm);
			assertThat(sharedWithChecks).as("%s requests per second", requestsPerSecond).isGreaterThan(queuePerVm);
		}
	}

	@Test
	void checksOnDemandServeMoreInTimeThanPeriodicChecks() {
		for (double requestsPerSecond : new double[] { 20, 40, 55 }) {
			double periodicChecks = averageInTimeShare("periodic-60", requestsPerSecond, 1, CHECK_INTERVAL_MS, false);
			double checksOnDemand = averageInTimeShare("on-demand-200", requestsPerSecond, 1, LONG_CHECK_INTERVAL_MS,
					true);
			assertThat(checksOnDemand).as("%s requests per second", requestsPerSecond).isGreaterThan(periodicChecks);
		}
	}

	@Test
	void overloadIsRefusedRatherThanDelayingAllRequests() {
		SimulatedRegion region = new SimulatedRegion(1, SERVERS, 1, CHECK_INTERVAL_MS);
		region.simulate(140, DURATION_MS);
		assertThat(region.refusedShare()).isGreaterThan(0.3);
		assertThat(region.lateShare()).isLessThan(0.3);
	}

}
