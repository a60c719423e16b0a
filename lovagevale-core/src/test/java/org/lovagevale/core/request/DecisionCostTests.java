package org.lovagevale.core.request;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against slow processing of the events of a request and of ticks. Runs only with
 * {@code -Dlovagevale.measure=true}, because the measured times also depend on other load
 * on the machine.
 */
@EnabledIfSystemProperty(named = "lovagevale.measure", matches = "true")
class DecisionCostTests {

	private static final int WARM_UP_REQUESTS = 200_000;

	private static final int MEASURED_REQUESTS = 500_000;

	@Test
	void requestIsProcessedInLessThan100Microseconds() {
		SingleServiceSettings settings = new SingleServiceSettings();
		settings.servers = 40;
		RequestHarness harness = RequestHarness.withWarmServers(settings);
		harness.recording = false;
		processRequests(harness, WARM_UP_REQUESTS, 0);
		long start = System.nanoTime();
		processRequests(harness, MEASURED_REQUESTS, WARM_UP_REQUESTS);
		double micros = (System.nanoTime() - start) / 1_000.0 / MEASURED_REQUESTS;
		System.out.printf("four events of one request, 40 servers: %.2f microseconds%n", micros);
		assertThat(micros).isLessThan(100);
	}

	@Test
	void tickOf6300ServersTakesLessThan10Milliseconds() {
		SingleServiceSettings settings = new SingleServiceSettings();
		settings.servers = 6_300;
		RequestHarness harness = RequestHarness.withWarmServers(settings);
		harness.recording = false;
		for (int i = 0; i < 1_000; i++) {
			harness.tickAfter(50);
		}
		long start = System.nanoTime();
		for (int i = 0; i < 1_000; i++) {
			harness.tickAfter(50);
		}
		double micros = (System.nanoTime() - start) / 1_000.0 / 1_000;
		System.out.printf("one tick, 6300 quiet servers: %.0f microseconds%n", micros);
		assertThat(micros).isLessThan(10_000);
	}

	private static void processRequests(RequestHarness harness, int requests, int idOffset) {
		for (int i = 1; i <= requests; i++) {
			int id = idOffset + i;
			harness.request(id, "GET", "/vans");
			harness.clock.advance(i % 2);
			harness.answerHead(id, 1, 200, RequestHarness.WARM_REPORT);
			harness.endAnswer(id, 1, null);
		}
	}

}
