package org.lovagevale.bench;

import java.util.SplittableRandom;

/**
 * Generates the gaps between successive requests.
 *
 * <p>
 * Not thread-safe.
 */
@FunctionalInterface
interface Arrivals {

	/** Nanoseconds in a second. */
	double NANOS_PER_SECOND = 1e9;

	/**
	 * Returns the gap before the next request.
	 * @param rate requests per second
	 * @return the gap in nanoseconds
	 */
	long nextGapNanos(int rate);

	/**
	 * Returns arrivals with equal gaps.
	 * @return the arrivals
	 */
	static Arrivals even() {
		return (rate) -> Math.round(NANOS_PER_SECOND / rate);
	}

	/**
	 * Returns the arrivals of many independent callers, which form a Poisson process.
	 * @param seed the seed of the random gaps
	 * @return the arrivals
	 */
	static Arrivals poisson(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		return (rate) -> Math.round(random.nextExponential() * NANOS_PER_SECOND / rate);
	}

}
