package org.lovagevale.base;

/**
 * A source of random numbers that can be replaced by a seeded one.
 *
 * <p>
 * Implementations need not be thread-safe.
 */
public interface RandomSource {

	/**
	 * Returns a number below a bound.
	 * @param bound the exclusive upper bound, positive
	 * @return a number from 0 to bound - 1
	 */
	int nextInt(int bound);

	/**
	 * Returns 64 random bits.
	 * @return any long value
	 */
	long nextLong();

}
