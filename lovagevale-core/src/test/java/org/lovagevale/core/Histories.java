package org.lovagevale.core;

import java.util.function.LongConsumer;

/**
 * Runs generated histories for each try of a jqwik property. The number of histories per
 * try is 1 unless the system property {@code lovagevale.histories} sets another number,
 * for example {@code -Dlovagevale.histories=100} for a longer run.
 */
public final class Histories {

	private static final int HISTORIES_PER_TRY = Integer.getInteger("lovagevale.histories", 1);

	private Histories() {
	}

	/**
	 * Runs the histories of one try.
	 * @param seed the seed of the first history; each further history uses the next
	 * number
	 * @param history runs the history of a given seed
	 */
	public static void run(long seed, LongConsumer history) {
		for (int i = 0; i < HISTORIES_PER_TRY; i++) {
			history.accept(seed + i);
		}
	}

}
