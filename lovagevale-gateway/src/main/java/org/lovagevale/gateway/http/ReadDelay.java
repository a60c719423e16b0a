package org.lovagevale.gateway.http;

import org.lovagevale.base.Clock;

/**
 * Estimates for how long received data has waited because the event loop was blocked or
 * the process did not run.
 *
 * <p>
 * The event loop reads from its connections before it runs the periodic work that is due,
 * so data that is read after a delay is read while the last tick is overdue. The time by
 * which it is overdue is an upper bound of the time that the data has waited, except for
 * one interval. Confined to the event loop.
 */
public final class ReadDelay {

	private final Clock clock;

	private final long tickIntervalMs;

	private long lastTickAt;

	/**
	 * Creates an instance without a delay.
	 * @param clock the clock
	 * @param tickIntervalMs the interval of the periodic work, in milliseconds
	 */
	public ReadDelay(Clock clock, long tickIntervalMs) {
		this.clock = clock;
		this.tickIntervalMs = tickIntervalMs;
		this.lastTickAt = clock.millis();
	}

	/**
	 * Records that the periodic work runs.
	 */
	public void recordTick() {
		this.lastTickAt = this.clock.millis();
	}

	/**
	 * Returns by how much the periodic work is overdue.
	 * @return the delay in milliseconds, not negative
	 */
	public long millis() {
		return Math.max(0, this.clock.millis() - this.lastTickAt - this.tickIntervalMs);
	}

}
