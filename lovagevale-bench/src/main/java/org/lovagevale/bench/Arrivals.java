package org.lovagevale.bench;

import java.util.SplittableRandom;

/**
 * How requests are spread over the time.
 *
 * <p>
 * Not thread-safe.
 */
@FunctionalInterface
interface Arrivals {

	/** Nanoseconds in a second. */
	double SECOND_NANOS = 1e9;

	/**
	 * Returns the time until the next request.
	 * @param rate requests a second
	 * @return the time in nanoseconds
	 */
	long nextGapNanos(int rate);

	/**
	 * Returns arrivals with equal gaps.
	 * @return the arrivals
	 */
	static Arrivals even() {
		return (rate) -> Math.round(SECOND_NANOS / rate);
	}

	/**
	 * Returns arrivals of many independent callers: a Poisson process.
	 * @param seed the seed of the gaps
	 * @return the arrivals
	 */
	static Arrivals poisson(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		return (rate) -> Math.round(random.nextExponential() * SECOND_NANOS / rate);
	}

}
