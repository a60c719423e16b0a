package org.lovagevale.bench;

import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against baselines of the tail benchmark that are slower than they should be,
 * which would make any load balancer compare well.
 */
class TailBaselineTests {

	@Test
	void singleQueueHasLatencyOfAnMm1Queue() {
		// An M/M/1 queue at utilization 0.5 has exponential latency with a mean of
		// 10 / (1 - 0.5) ms.
		Histogram latency = SingleQueue.simulate(50, 1, 10, 7);
		assertThat(latency.getMean() / 1e6).isCloseTo(20, within(0.5));
		assertThat(latency.getValueAtPercentile(99) / 1e6).isCloseTo(20 * Math.log(100), within(3.0));
	}

	@Test
	void leastInFlightChoosesTheOnlyIdleServer() {
		BalancingAlgorithm algorithm = BalancingAlgorithm.leastInFlight(1);
		for (int i = 0; i < 100; i++) {
			assertThat(algorithm.choose(new int[] { 2, 1, 0, 3 })).isEqualTo(2);
		}
	}

	@Test
	void twoChoicesPicksTheBusierOfTwoServersInAQuarterOfCases() {
		BalancingAlgorithm algorithm = BalancingAlgorithm.twoChoices(1);
		int busierCount = 0;
		for (int i = 0; i < 10_000; i++) {
			busierCount += algorithm.choose(new int[] { 0, 5 });
		}
		assertThat(busierCount / 10_000.0).isCloseTo(0.25, within(0.03));
	}

}
