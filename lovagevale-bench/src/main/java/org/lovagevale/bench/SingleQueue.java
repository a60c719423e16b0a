package org.lovagevale.bench;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.HdrHistogram.Histogram;

/**
 * The bound that no load balancer can beat: one queue in front of all slots, where each
 * request takes the slot that becomes free first.
 *
 * <p>
 * Thread-safe.
 */
final class SingleQueue {

	private static final int ARRIVALS = 1_000_000;

	private static final int DIGITS = 3;

	private SingleQueue() {
	}

	/**
	 * Simulates Poisson arrivals with exponential service times.
	 * @param rate requests a second
	 * @param slots slots of all servers together
	 * @param serviceMs the mean service time in milliseconds
	 * @param seed the seed
	 * @return the latencies in nanoseconds
	 */
	static Histogram simulate(int rate, int slots, double serviceMs, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Arrivals arrivals = Arrivals.poisson(seed + 1);
		PriorityQueue<Long> freeAt = new PriorityQueue<>();
		for (int i = 0; i < slots; i++) {
			freeAt.add(0L);
		}
		Histogram result = new Histogram(DIGITS);
		long now = 0;
		for (int i = 0; i < ARRIVALS; i++) {
			now += arrivals.nextGapNanos(rate);
			long begin = Math.max(now, freeAt.remove());
			long end = begin + Math.round(random.nextExponential() * serviceMs * LoadResult.NANOS_PER_MILLI);
			freeAt.add(end);
			result.recordValue(end - now);
		}
		return result;
	}

}
