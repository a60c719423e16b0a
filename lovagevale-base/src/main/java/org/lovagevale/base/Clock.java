package org.lovagevale.base;

/**
 * A source of time in milliseconds.
 *
 * <p>
 * Invariant: {@link #millis()} never decreases. Implementations are thread-safe unless
 * they say otherwise.
 */
public interface Clock {

	/**
	 * Returns the monotonic time.
	 * @return milliseconds since an arbitrary origin that is fixed for the process; it
	 * goes on while the process is paused
	 */
	long millis();

	/**
	 * Returns the wall time.
	 * @return milliseconds since 1970-01-01T00:00:00Z; it may jump in either direction
	 */
	long epochMillis();

}
