package org.lovagevale.core.startup;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a start that gives up too early or never, and against a log line for
 * each attempt.
 */
class StartupRetriesTests {

	private final ManualClock clock = new ManualClock(0, 0);

	private final StartupRetries retries = new StartupRetries(this.clock);

	@Test
	void stepsAreRetriedUntilTheStartHasTakenTooLong() {
		this.clock.advance(StartupRetries.GIVE_UP_MS - 1);
		assertThat(this.retries.mayRetry()).isTrue();
		this.clock.advance(1);
		assertThat(this.retries.mayRetry()).isFalse();
	}

	@Test
	void unchangedFailureIsLoggedOnceInAnInterval() {
		assertThat(this.retries.recordFailure("port in use")).isTrue();
		assertThat(this.retries.recordFailure("port in use")).isFalse();
		assertThat(this.retries.recordFailure("file is empty")).isTrue();
		this.clock.advance(StartupRetries.LOG_INTERVAL_MS);
		assertThat(this.retries.recordFailure("file is empty")).isTrue();
	}

}
