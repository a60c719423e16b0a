package org.lovagevale.core.startup;

import org.lovagevale.base.Clock;

/**
 * Decides whether a failed step of the start is tried again, and whether its failure is
 * logged.
 *
 * <p>
 * Invariant: no step is tried again {@link #GIVE_UP_MS} after the start. Not thread-safe.
 */
public final class StartupRetries {

	/**
	 * Time after the start from which a failed step ends the process, in milliseconds. A
	 * file that is being written or a port of an ending process becomes right earlier.
	 */
	public static final long GIVE_UP_MS = 30_000;

	/** Delay before a step is tried again, in milliseconds. */
	public static final long RETRY_DELAY_MS = 50;

	/** Interval at which an unchanged failure is logged again, in milliseconds. */
	static final long LOG_INTERVAL_MS = 5_000;

	private final Clock clock;

	private final long startedAt;

	private String loggedFailure = "";

	private long loggedAt;

	/**
	 * Creates an instance for a start that begins now.
	 * @param clock the source of the current time
	 */
	public StartupRetries(Clock clock) {
		this.clock = clock;
		this.startedAt = clock.millis();
	}

	/**
	 * Returns whether a step that has just failed is to be tried again.
	 * @return {@code false} if the start has taken too long
	 */
	public boolean mayRetry() {
		return elapsedMs() < GIVE_UP_MS;
	}

	/**
	 * Records a failure.
	 * @param failure the description of the failure
	 * @return whether it is to be logged: it differs from the last one that was logged,
	 * or that was logged a while ago
	 */
	public boolean recordFailure(String failure) {
		long now = this.clock.millis();
		if (failure.equals(this.loggedFailure) && now - this.loggedAt < LOG_INTERVAL_MS) {
			return false;
		}
		this.loggedFailure = failure;
		this.loggedAt = now;
		return true;
	}

	/**
	 * Returns the time since the start.
	 * @return the time in milliseconds
	 */
	public long elapsedMs() {
		return this.clock.millis() - this.startedAt;
	}

}
