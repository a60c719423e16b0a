package org.lovagevale.settings.model;

/**
 * Settings of the idempotency keys.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param capacity keys that one process remembers at a time
 * @param epochMs length of a key epoch in milliseconds
 * @param validEpochs epochs for which a key is remembered
 * @param replayBytes largest response body kept for replay, in bytes
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
