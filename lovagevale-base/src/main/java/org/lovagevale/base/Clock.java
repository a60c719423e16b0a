package org.lovagevale.base;

/**
 * A source of time in milliseconds.
 *
 * <p>
 * Invariant: {@link #millis()} never decreases. Implementations are thread-safe unless
 * documented otherwise.
 */
public interface Clock {

	/**
	 * Returns the monotonic time.
	 * @return milliseconds since an arbitrary origin that is fixed for the process; the
	 * time advances while the process is suspended
	 */
	long millis();

	/**
	 * Returns the wall time.
	 * @return milliseconds since 1970-01-01T00:00:00Z; the time may jump in either
	 * direction
	 */
	long epochMillis();

}
