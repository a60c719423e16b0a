package org.lovagevale.core.placing;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares ways of placing in simulated time; the figures are printed for the pages.
 */
class PlacingUnderLoadTests {

	private static final int SERVERS = 6;

	private static final int VMS = 6;

	private static final int MILLIS = 60_000;

	private static final int SEEDS = 3;

	private static double inTime(String name, double perSecond, int dispatchers, boolean checked) {
		double sum = 0;
		double refused = 0;
		double late = 0;
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedRegion region = new SimulatedRegion(seed, SERVERS, dispatchers, checked);
			sum += region.play(perSecond, MILLIS);
			refused += region.refusedShare();
			late += region.lateShare();
		}
		System.out.printf("placing=%s perSecond=%.0f inTime=%.3f late=%.3f refused=%.3f%n", name, perSecond,
				sum / SEEDS, late / SEEDS, refused / SEEDS);
		return sum / SEEDS;
	}

	@Test
	void oneQueueServesMoreInTimeThanEachVmAlone() {
		for (double rate : new double[] { 20, 40, 55, 70 }) {
			double alone = inTime("each-vm", rate, VMS, false);
			double one = inTime("one-queue", rate, 1, false);
			double checked = inTime("one-queue-checked", rate, 1, true);
			assertThat(one).as("rate %s", rate).isGreaterThan(alone);
			assertThat(checked).as("rate %s", rate).isGreaterThan(alone);
		}
	}

	@Test
	void overloadIsRefusedInsteadOfMakingAllLate() {
		SimulatedRegion region = new SimulatedRegion(1, SERVERS, 1, true);
		region.play(140, MILLIS);
		assertThat(region.refusedShare()).isGreaterThan(0.3);
		assertThat(region.lateShare()).isLessThan(0.3);
	}

}
