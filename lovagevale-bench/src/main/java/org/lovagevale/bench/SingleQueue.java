package org.lovagevale.bench;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.HdrHistogram.Histogram;

/**
 * Simulates a lower bound on the latency of any load balancer: a single queue in front of
 * the slots of all servers (an M/M/c queue), from which each request takes the slot that
 * becomes free first.
 *
 * <p>
 * Thread-safe.
 */
final class SingleQueue {

	private static final int REQUESTS = 1_000_000;

	private static final int SIGNIFICANT_DIGITS = 3;

	private SingleQueue() {
	}

	/**
	 * Simulates Poisson arrivals with exponential service times.
	 * @param rate requests per second
	 * @param slots total number of slots of all servers
	 * @param serviceMs the mean service time in milliseconds
	 * @param seed the seed of the random numbers
	 * @return the latencies in nanoseconds
	 */
	static Histogram simulate(int rate, int slots, double serviceMs, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Arrivals arrivals = Arrivals.poisson(seed + 1);
		PriorityQueue<Long> slotFreeNanos = new PriorityQueue<>();
		for (int i = 0; i < slots; i++) {
			slotFreeNanos.add(0L);
		}
		Histogram result = new Histogram(SIGNIFICANT_DIGITS);
		long now = 0;
		for (int i = 0; i < REQUESTS; i++) {
			now += arrivals.nextInterarrivalNanos(rate);
			long start = Math.max(now, slotFreeNanos.remove());
			long end = start + Math.round(random.nextExponential() * serviceMs * LoadResult.NANOS_PER_MILLI);
			slotFreeNanos.add(end);
			result.recordValue(end - now);
		}
		return result;
	}

}
