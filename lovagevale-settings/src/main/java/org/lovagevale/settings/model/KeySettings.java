package org.lovagevale.settings.model;

/**
 * How idempotency keys are remembered.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param capacity keys that one process remembers at a time
 * @param epochMs length of a key epoch in milliseconds
 * @param validEpochs epochs for which a key is remembered
 * @param replayBytes largest answer body kept for replay, in bytes
 */
public record KeySettings(int capacity, long epochMs, int validEpochs, int replayBytes) {

	/**
	 * Returns the defaults.
	 * @return the values used where the tree gives none
	 */
	public static KeySettings defaults() {
		return new KeySettings(20_000, 60_000, 30, 16_384);
	}

}
