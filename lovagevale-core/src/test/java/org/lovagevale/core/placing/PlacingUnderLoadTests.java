package org.lovagevale.core.placing;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares strategies of placement in simulated time. The figures are printed for the
 * documentation.
 */
class PlacingUnderLoadTests {

	private static final int SERVERS = 6;

	private static final int VMS = 6;

	private static final int DURATION_MS = 60_000;

	private static final int SEEDS = 3;

	private static final int CHECK_INTERVAL_MS = 60;

	private static final int RARE_CHECK_INTERVAL_MS = 200;

	private static double inTimeShare(String name, double perSecond, int dispatchers, int checkIntervalMs,
			boolean onDemand) {
		double sum = 0;
		double refused = 0;
		double late = 0;
		double checks = 0;
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedRegion region = new SimulatedRegion(seed, SERVERS, dispatchers, checkIntervalMs);
			if (onDemand) {
				region.withChecksOnDemand();
			}
			sum += region.simulate(perSecond, DURATION_MS);
			refused += region.refusedShare();
			late += region.lateShare();
			checks += region.checksPerRequest();
		}
		System.out.printf("placing=%s perSecond=%.0f inTime=%.3f late=%.3f refused=%.3f checks=%.1f%n", name, perSecond,
				sum / SEEDS, late / SEEDS, refused / SEEDS, checks / SEEDS);
		return sum / SEEDS;
	}

	@Test
	void sharedQueueServesMoreInTimeThanOneQueuePerVm() {
		for (double rate : new double[] { 20, 40, 55, 70 }) {
			double perVm = inTimeShare("each-vm", rate, VMS, 0, false);
			double shared = inTimeShare("one-queue", rate, 1, 0, false);
			double checked = inTimeShare("one-queue-checked", rate, 1, CHECK_INTERVAL_MS, false);
			assertThat(shared).as("rate %s", rate).isGreaterThan(perVm);
			assertThat(checked).as("rate %s", rate).isGreaterThan(perVm);
		}
	}

	@Test
	void checksOnDemandServeMoreInTimeThanPeriodicChecks() {
		for (double rate : new double[] { 20, 40, 55 }) {
			double periodic = inTimeShare("periodic-60", rate, 1, CHECK_INTERVAL_MS, false);
			double onDemand = inTimeShare("on-demand-200", rate, 1, RARE_CHECK_INTERVAL_MS, true);
			assertThat(onDemand).as("rate %s", rate).isGreaterThan(periodic);
		}
	}

	@Test
	void overloadIsRefusedInsteadOfDelayingAllRequests() {
		SimulatedRegion region = new SimulatedRegion(1, SERVERS, 1, CHECK_INTERVAL_MS);
		region.simulate(140, DURATION_MS);
		assertThat(region.refusedShare()).isGreaterThan(0.3);
		assertThat(region.lateShare()).isLessThan(0.3);
	}

}
