package org.lovagevale.core.placing;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hedged requests that cost callers more than they bring, at low and at
 * high load. Prints the measured figures for the documentation.
 */
class HedgingUnderLoadTests {

	private static final double SHARE = 0.05;

	private static final int DURATION_MS = 120_000;

	private static final int SEEDS = 4;

	/** Difference of the shares in time that two sets of seeds may have. */
	private static final double SEED_SPREAD = 0.002;

	private static Result measure(double capacityShare, double secondSendShare, double longWorkShare) {
		double inTime = 0;
		double p99 = 0;
		double hedged = 0;
		double won = 0;
		double sent = 0;
		double refused = 0;
		double checks = 0;
		StringBuilder refusals = new StringBuilder();
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedHedging service = new SimulatedHedging(seed, secondSendShare, longWorkShare)
				.simulate(capacityShare, DURATION_MS);
			inTime += service.inTimeShare() / SEEDS;
			p99 += (double) service.percentileMs(0.99) / SEEDS;
			hedged += service.hedged();
			won += service.won();
			sent += service.sent();
			refused += service.refusedShare() / SEEDS;
			checks += service.checksPerRequest() / SEEDS;
			refusals.append(service.hedgeRefusals());
		}
		System.out.printf(
				"hedging load=%.1f share=%.2f longWork=%.2f inTime=%.4f p99Ms=%.0f refused=%.4f hedged=%.4f won=%.4f checks=%.1f refusals=%s%n",
				capacityShare, secondSendShare, longWorkShare, inTime, p99, refused, hedged / sent, won / sent, checks,
				refusals);
		return new Result(inTime, p99, hedged / sent);
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0.2, 0.4, 0.6 })
	void hedgingShortensTheTailAndServesNoFewerInTime(double capacityShare) {
		Result without = measure(capacityShare, 0, 0);
		Result with = measure(capacityShare, SHARE, 0);
		assertThat(with.inTime()).isGreaterThanOrEqualTo(without.inTime() - SEED_SPREAD);
		assertThat(with.p99Ms()).isLessThan(without.p99Ms());
		assertThat(with.hedgedShare()).isLessThanOrEqualTo(SHARE);
	}

	@Test
	void hedgingDoesNotHarmWhereSomeWorkTakesLongOnAnyServer() {
		for (double capacityShare : new double[] { 0.2, 0.4, 0.6 }) {
			Result without = measure(capacityShare, 0, 0.03);
			Result with = measure(capacityShare, SHARE, 0.03);
			assertThat(with.inTime()).isGreaterThanOrEqualTo(without.inTime() - SEED_SPREAD);
			assertThat(with.hedgedShare()).isLessThanOrEqualTo(SHARE);
		}
	}

	/**
	 * The figures of a simulated service.
	 *
	 * @param inTime the share of requests answered within the target
	 * @param p99Ms the 99th percentile of the response times, in milliseconds
	 * @param hedgedShare the hedged requests per first attempt
	 */
	private record Result(double inTime, double p99Ms, double hedgedShare) {
	}

}
