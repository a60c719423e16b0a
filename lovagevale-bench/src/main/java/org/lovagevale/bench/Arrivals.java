package org.lovagevale.bench;

import java.util.SplittableRandom;

/**
 * Generates the interarrival times of requests.
 *
 * <p>
 * Not thread-safe.
 */
@FunctionalInterface
interface Arrivals {

	/** Nanoseconds in a second. */
	double NANOS_PER_SECOND = 1e9;

	/**
	 * Returns the interarrival time before the next request.
	 * @param rate requests per second
	 * @return the interarrival time in nanoseconds
	 */
	long nextInterarrivalNanos(int rate);

	/**
	 * Returns arrivals at equal intervals.
	 * @return the arrivals
	 */
	static Arrivals evenlySpaced() {
		return (rate) -> Math.round(NANOS_PER_SECOND / rate);
	}

	/**
	 * Returns the arrivals of many independent callers, which form a Poisson process.
	 * @param seed the seed of the random interarrival times
	 * @return the arrivals
	 */
	static Arrivals poisson(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		return (rate) -> Math.round(random.nextExponential() * NANOS_PER_SECOND / rate);
	}

}
