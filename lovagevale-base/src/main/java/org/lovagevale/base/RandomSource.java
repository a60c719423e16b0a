package org.lovagevale.base;

/**
 * A source of random numbers. A seeded implementation makes tests repeatable.
 *
 * <p>
 * Implementations need not be thread-safe.
 */
public interface RandomSource {

	/**
	 * Returns a random number below a bound.
	 * @param bound the exclusive upper bound, positive
	 * @return a number from 0 to {@code bound - 1}
	 */
	int nextInt(int bound);

	/**
	 * Returns 64 random bits.
	 * @return any long value
	 */
	long nextLong();

}
