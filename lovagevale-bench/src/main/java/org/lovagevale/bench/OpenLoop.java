package org.lovagevale.bench;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.IntFunction;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import reactor.core.publisher.Mono;

/**
 * Sends requests at a stated rate, whether or not earlier ones were answered.
 *
 * <p>
 * Latency counts from the intended send time, so that a late generator or a stalled
 * server lengthens it and no request is omitted. Not thread-safe.
 */
final class OpenLoop {

	private static final int DIGITS = 3;

	// Below this the thread spins, as the kernel wakes a thread about 60 us late.
	private static final long SPIN_NANOS = 100_000;

	private static final int MAX_OPEN = 5_000;

	private static final Duration END_LIMIT = Duration.ofSeconds(10);

	private final Histogram latency = new ConcurrentHistogram(DIGITS);

	private final Histogram lag = new Histogram(DIGITS);

	private final AtomicLong open = new AtomicLong();

	private final AtomicLong failed = new AtomicLong();

	private final int rate;

	private final int seconds;

	private final IntFunction<Mono<Boolean>> sender;

	private final Arrivals arrivals;

	/**
	 * Creates a generator for one run.
	 * @param rate requests a second
	 * @param seconds length of the run
	 * @param arrivals how the requests are spread over the time
	 * @param sender sends the request with a number and tells whether it succeeded
	 */
	OpenLoop(int rate, int seconds, Arrivals arrivals, IntFunction<Mono<Boolean>> sender) {
		this.rate = rate;
		this.seconds = seconds;
		this.arrivals = arrivals;
		this.sender = sender;
	}

	LoadResult run() throws InterruptedException {
		int count = this.rate * this.seconds;
		long start = System.nanoTime();
		long skipped = 0;
		long intended = start;
		for (int i = 0; i < count; i++) {
			intended += this.arrivals.nextGapNanos(this.rate);
			waitUntil(intended);
			this.lag.recordValue(Math.max(0, System.nanoTime() - intended));
			if (this.open.get() >= MAX_OPEN) {
				skipped++;
				continue;
			}
			send(i, intended);
		}
		awaitEnd();
		long lost = skipped + this.open.get();
		return new LoadResult(this.latency, this.lag, count - skipped, this.failed.get(), lost);
	}

	private void send(int number, long intended) {
		this.open.incrementAndGet();
		this.sender.apply(number).onErrorReturn(Boolean.FALSE).subscribe((success) -> {
			if (success) {
				this.latency.recordValue(System.nanoTime() - intended);
			}
			else {
				this.failed.incrementAndGet();
			}
			this.open.decrementAndGet();
		});
	}

	private void awaitEnd() throws InterruptedException {
		long end = System.nanoTime() + END_LIMIT.toNanos();
		while (this.open.get() > 0 && System.nanoTime() < end) {
			Thread.sleep(1);
		}
	}

	private static void waitUntil(long nanos) {
		long left = nanos - System.nanoTime();
		while (left > 0) {
			if (left > SPIN_NANOS) {
				LockSupport.parkNanos(left - SPIN_NANOS);
			}
			else {
				Thread.onSpinWait();
			}
			left = nanos - System.nanoTime();
		}
	}

}
