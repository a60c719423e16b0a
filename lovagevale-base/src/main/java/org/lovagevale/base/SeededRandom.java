package org.lovagevale.base;

import java.util.SplittableRandom;

/**
 * A source of pseudorandom numbers that returns the same sequence for the same seed.
 *
 * <p>
 * Not thread-safe.
 */
public final class SeededRandom implements RandomSource {

	private final SplittableRandom random;

	/**
	 * Creates a source.
	 * @param seed the seed
	 */
	public SeededRandom(long seed) {
		this.random = new SplittableRandom(seed);
	}

	@Override
	public int nextInt(int bound) {
		return this.random.nextInt(bound);
	}

	@Override
	public long nextLong() {
		return this.random.nextLong();
	}

}
