package org.lovagevale.bench;

/**
 * How long and how often to measure.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param runs repetitions
 * @param seconds length of one repetition in seconds
 * @param limitSeconds time after which control starts no further point, in seconds
 */
record Options(int runs, int seconds, int limitSeconds) {
}
