package org.lovagevale.bench;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Mono;

/**
 * An open-loop load generator: sends requests at a given rate, independently of the
 * responses to earlier requests.
 *
 * <p>
 * Latency is measured from the intended send time. A late generator or a stalled server
 * therefore increases the measured latency, which avoids coordinated omission. Not
 * thread-safe.
 */
final class OpenLoopGenerator {

	private static final int SIGNIFICANT_DIGITS = 3;

	// The last part of each wait is a spin of this length, because the kernel wakes a
	// parked thread about 60 us late.
	private static final long SPIN_NANOS = 100_000;

	private static final int MAX_IN_FLIGHT = 5_000;

	private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(10);

	private final Histogram latency = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

	private final Histogram sendLag = new Histogram(SIGNIFICANT_DIGITS);

	private final AtomicLong inFlight = new AtomicLong();

	private final AtomicLong failed = new AtomicLong();

	private final int rate;

	private final int seconds;

	private final IntFunction<Mono<Boolean>> sender;

	private final Arrivals arrivals;

	/**
	 * Creates a generator for one run.
	 * @param rate requests per second
	 * @param seconds duration of the run in seconds
	 * @param arrivals the interarrival times of the requests
	 * @param sender sends the request with the given index and returns whether it
	 * succeeded
	 */
	OpenLoopGenerator(int rate, int seconds, Arrivals arrivals, IntFunction<Mono<Boolean>> sender) {
		this.rate = rate;
		this.seconds = seconds;
		this.arrivals = arrivals;
		this.sender = sender;
	}

	LoadResult run() throws InterruptedException {
		int count = this.rate * this.seconds;
		long start = System.nanoTime();
		long skipped = 0;
		long intendedNanos = start;
		for (int i = 0; i < count; i++) {
			intendedNanos += this.arrivals.nextInterarrivalNanos(this.rate);
			waitUntil(intendedNanos);
			this.sendLag.recordValue(Math.max(0, System.nanoTime() - intendedNanos));
			if (this.inFlight.get() >= MAX_IN_FLIGHT) {
				skipped++;
				continue;
			}
			send(i, intendedNanos);
		}
		awaitCompletion();
		long incomplete = skipped + this.inFlight.get();
		return new LoadResult(this.latency, this.sendLag, count - skipped, this.failed.get(), incomplete);
	}

	private void send(int index, long intendedNanos) {
		this.inFlight.incrementAndGet();
		this.sender.apply(index).onErrorReturn(Boolean.FALSE).subscribe((success) -> {
			if (success) {
				this.latency.recordValue(System.nanoTime() - intendedNanos);
			}
			else {
				this.failed.incrementAndGet();
			}
			this.inFlight.decrementAndGet();
		});
	}

	private void awaitCompletion() throws InterruptedException {
		long deadlineNanos = System.nanoTime() + COMPLETION_TIMEOUT.toNanos();
		while (this.inFlight.get() > 0 && System.nanoTime() < deadlineNanos) {
			Thread.sleep(1);
		}
	}

	private static void waitUntil(long timeNanos) {
		long remaining = timeNanos - System.nanoTime();
		while (remaining > 0) {
			if (remaining > SPIN_NANOS) {
				LockSupport.parkNanos(remaining - SPIN_NANOS);
			}
			else {
				Thread.onSpinWait();
			}
			remaining = timeNanos - System.nanoTime();
		}
	}

}
