package org.lovagevale.bench;

/**
 * The options of a benchmark run.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param runs number of repetitions
 * @param seconds duration of one repetition in seconds
 * @param limitSeconds time in seconds after which the control benchmark measures no
 * further exchange
 */
record Options(int runs, int seconds, int limitSeconds) {
}
