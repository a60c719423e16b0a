package org.lovagevale.core.request;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against slow processing of the events of a request and of ticks. Runs only with
 * {@code -Dlovagevale.measure=true}, since other load on the machine increases the
 * measured times.
 */
@EnabledIfSystemProperty(named = "lovagevale.measure", matches = "true")
class DecisionCostTests {

	private static final int WARM_UP_REQUESTS = 200_000;

	private static final int MEASURED_REQUESTS = 500_000;

	@Test
	void requestIsDecidedInAFewMicroseconds() {
		TestSettings settings = new TestSettings();
		settings.servers = 40;
		Session session = Session.warm(settings);
		session.recording = false;
		run(session, WARM_UP_REQUESTS, 0);
		long start = System.nanoTime();
		run(session, MEASURED_REQUESTS, WARM_UP_REQUESTS);
		double micros = (System.nanoTime() - start) / 1_000.0 / MEASURED_REQUESTS;
		System.out.printf("four events of one request, 40 servers: %.2f microseconds%n", micros);
		assertThat(micros).isLessThan(100);
	}

	@Test
	void tickOfManyServersIsShort() {
		TestSettings settings = new TestSettings();
		settings.servers = 6_300;
		Session session = Session.warm(settings);
		session.recording = false;
		for (int i = 0; i < 1_000; i++) {
			session.tickAfter(50);
		}
		long start = System.nanoTime();
		for (int i = 0; i < 1_000; i++) {
			session.tickAfter(50);
		}
		double micros = (System.nanoTime() - start) / 1_000.0 / 1_000;
		System.out.printf("one tick, 6300 quiet servers: %.0f microseconds%n", micros);
		assertThat(micros).isLessThan(10_000);
	}

	private static void run(Session session, int requests, int firstId) {
		for (int i = 1; i <= requests; i++) {
			int id = firstId + i;
			session.request(id, "GET", "/vans");
			session.clock.advance(i % 2);
			session.answer(id, 1, 200, Session.WARM);
			session.end(id, 1, null);
		}
	}

}
