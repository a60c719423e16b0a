package org.lovagevale.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against periodic work that ends with its first failure, as executors do by
 * default.
 */
class PeriodicTaskTests {

	@ParameterizedTest
	@ValueSource(classes = { IllegalStateException.class, StackOverflowError.class, AssertionError.class })
	void taskContinuesAfterAFailure(Class<? extends Throwable> failure) throws Exception {
		CountDownLatch runs = new CountDownLatch(3);
		try (ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor()) {
			executor.scheduleWithFixedDelay(new PeriodicTask(() -> {
				runs.countDown();
				throw newInstance(failure);
			}), 0, 1, TimeUnit.MILLISECONDS);
			assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
			executor.shutdownNow();
		}
	}

	private static Error newInstance(Class<? extends Throwable> failure) {
		try {
			Throwable thrown = failure.getDeclaredConstructor().newInstance();
			if (thrown instanceof RuntimeException exception) {
				throw exception;
			}
			return (Error) thrown;
		}
		catch (ReflectiveOperationException ex) {
			return new AssertionError(ex);
		}
	}

}
