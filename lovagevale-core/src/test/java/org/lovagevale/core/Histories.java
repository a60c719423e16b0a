package org.lovagevale.core;

import java.util.function.LongConsumer;

/**
 * The number of generated histories for each try of a property. It is 1 unless the system
 * property {@code lovagevale.histories} says otherwise, for example
 * {@code -Dlovagevale.histories=100} for a longer run.
 */
public final class Histories {

	private static final int PER_TRY = Integer.getInteger("lovagevale.histories", 1);

	private Histories() {
	}

	/**
	 * Runs the histories of one try.
	 * @param seed the seed of the first history; the next ones have the next numbers
	 * @param history runs one history
	 */
	public static void run(long seed, LongConsumer history) {
		for (int i = 0; i < PER_TRY; i++) {
			history.accept(seed + i);
		}
	}

}
