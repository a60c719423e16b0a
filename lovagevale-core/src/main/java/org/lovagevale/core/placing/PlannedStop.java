package org.lovagevale.core.placing;

/**
 * Decides which requests a process still begins while it is being stopped.
 *
 * <p>
 * A request is begun only if it is over before the process ends, by its own timeout or,
 * in the first half of the stop time, by its expected duration. All others are rejected
 * as not executed, so that callers can send them to another process. Invariant: once
 * begun, a planned stop is not revoked, and its end does not change. Not thread-safe.
 */
public final class PlannedStop {

	/**
	 * Multiple of the usual processing time that has to be left for a request. Requests
	 * of one kind differ in duration, and the usual time is nearer to the short ones.
	 */
	private static final int DURATION_FACTOR = 3;

	/**
	 * Share of the stop time after which the expected duration no longer counts, since a
	 * request that takes longer than expected could not be completed.
	 */
	private static final double ESTIMATING_SHARE = 0.5;

	private boolean inProgress;

	private long estimatingUntil;

	private long endsAt;

	/**
	 * Begins the planned stop; has no effect if it has begun already.
	 * @param now the monotonic time in milliseconds
	 * @param stopMs the time until the process ends, in milliseconds
	 */
	public void begin(long now, long stopMs) {
		if (stopMs < 0) {
			throw new IllegalArgumentException("stop time of " + stopMs + " ms");
		}
		if (this.inProgress) {
			return;
		}
		this.inProgress = true;
		this.estimatingUntil = now + (long) (stopMs * ESTIMATING_SHARE);
		this.endsAt = now + stopMs;
	}

	/**
	 * Tells whether the process is being stopped.
	 * @return {@code true} from the begin of the planned stop
	 */
	public boolean isInProgress() {
		return this.inProgress;
	}

	/**
	 * Tells whether a request that is not at a server yet may be sent to one.
	 * @param now the monotonic time in milliseconds
	 * @param timeoutAt the monotonic time at which the request times out, in milliseconds
	 * @param workMs the usual processing time of such requests, in milliseconds
	 * @return {@code true} if the request will be over before the process ends
	 */
	public boolean allows(long now, long timeoutAt, long workMs) {
		if (!this.inProgress || timeoutAt <= this.endsAt) {
			return true;
		}
		return now < this.estimatingUntil && now + DURATION_FACTOR * workMs <= this.endsAt;
	}

	/**
	 * Returns the time that is left until the process ends.
	 * @param now the monotonic time in milliseconds
	 * @return the time in milliseconds, 0 after the end
	 * @throws IllegalStateException if the process is not being stopped
	 */
	public long timeLeftMs(long now) {
		if (!this.inProgress) {
			throw new IllegalStateException("no planned stop is in progress");
		}
		return Math.max(0, this.endsAt - now);
	}

}
