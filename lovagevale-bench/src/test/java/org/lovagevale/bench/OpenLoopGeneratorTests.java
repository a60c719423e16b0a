package org.lovagevale.bench;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against coordinated omission, where the delay of requests that were due during a
 * stall is not measured, and against results of a generator that did not offer the
 * configured load.
 */
class OpenLoopGeneratorTests {

	@Test
	void stallAddsToTheLatencyOfEveryRequestDueMeanwhile() throws InterruptedException {
		LoadResult result = new OpenLoopGenerator(100, 1, Arrivals.evenlySpaced(), (i) -> {
			if (i == 10) {
				sleep(Duration.ofMillis(300));
			}
			return Mono.just(Boolean.TRUE);
		}).run();
		assertThat(result.sent()).isEqualTo(100);
		assertThat(result.latencyMs(100)).isGreaterThanOrEqualTo(299);
		// 30 of the 100 requests were due during the stall of 300 ms. Half of them were
		// delayed by at least 150 ms.
		assertThat(result.latencyMs(80)).isGreaterThan(80);
		assertThat(result.isGeneratorSaturated()).isTrue();
	}

	@Test
	void failedRequestsAreCountedButHaveNoLatency() throws InterruptedException {
		LoadResult result = new OpenLoopGenerator(100, 1, Arrivals.evenlySpaced(),
				(i) -> (i % 2 == 0) ? Mono.just(Boolean.TRUE) : Mono.error(new IllegalStateException("refused")))
			.run();
		assertThat(result.failed()).isEqualTo(50);
		assertThat(result.latency().getTotalCount()).isEqualTo(50);
		assertThat(result.incomplete()).isZero();
	}

	private static void sleep(Duration time) {
		try {
			Thread.sleep(time);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
