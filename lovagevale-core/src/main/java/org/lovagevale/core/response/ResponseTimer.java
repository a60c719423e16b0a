package org.lovagevale.core.response;

import org.lovagevale.core.response.LateResponseStep.AwaitMore;
import org.lovagevale.core.response.LateResponseStep.EndResponse;

/**
 * Decides when a response is ended that was begun before the timeout of its request and
 * is not complete by then.
 *
 * <p>
 * A response that still arrives is passed on for a short time, since its end is usually
 * near; one without end is cut off then. Invariants: the server gets at most
 * {@link #MAX_OVERRUN_MS} beyond the timeout, not counting the time for which a slow
 * caller blocks the response, or {@link #READ_AFTER_PAUSE_MS} after a pause of this
 * process; nothing is passed on for more than the former time after the deadline of the
 * caller. All times are monotonic, in milliseconds. Not thread-safe.
 */
public final class ResponseTimer {

	/**
	 * Maximum time beyond the timeout in milliseconds. Callers must have a final response
	 * half a second after the timeout; the difference is left for the way to them.
	 */
	public static final long MAX_OVERRUN_MS = 450;

	/**
	 * Time without further data after which a late response counts as stalled, in
	 * milliseconds.
	 */
	public static final long STALL_MS = 200;

	/**
	 * Time before the timeout from which an incomplete response is overdue if its caller
	 * leaves, in milliseconds. Callers measure the same time from another start.
	 */
	static final long OVERDUE_MARGIN_MS = 40;

	/**
	 * Time for which a caller takes nothing from which it counts as slow, in
	 * milliseconds. A caller that is as fast as its network blocks a response without end
	 * too, but each time for a shorter time.
	 */
	static final long MIN_BLOCK_MS = 30;

	/** Delay of a decision from which this process counts as paused, in milliseconds. */
	static final long MIN_PAUSE_MS = 100;

	/**
	 * Time after a pause in milliseconds in which the response is read that has arrived
	 * meanwhile.
	 */
	static final long READ_AFTER_PAUSE_MS = 100;

	/** A time in the far future from which times can be subtracted without overflow. */
	private static final long NO_DEADLINE = Long.MAX_VALUE / 2;

	private final long timeoutAt;

	private final long callerDeadlineAt;

	/** When data arrived last, or when the caller was ready to take more. */
	private long progressAt;

	private boolean blocked;

	private long blockedSince;

	/** Time for which a slow caller has blocked the response before. */
	private long blockedMs;

	/** Time after the timeout that is not charged to the server. */
	private long excusedMs;

	/** When the next decision is due. */
	private long decisionAt;

	/** Until when the response is read at least, after the last pause. */
	private long readUntil;

	/**
	 * Creates a timer.
	 * @param timeoutAt the time at which the request times out
	 * @param callerDeadlineAt the time at which the caller stops waiting,
	 * {@link Long#MAX_VALUE} if it is not known
	 */
	public ResponseTimer(long timeoutAt, long callerDeadlineAt) {
		if (callerDeadlineAt < timeoutAt) {
			throw new IllegalArgumentException("deadline of the caller at " + callerDeadlineAt
					+ " ms, before the timeout at " + timeoutAt + " ms");
		}
		this.timeoutAt = timeoutAt;
		this.decisionAt = timeoutAt;
		this.readUntil = timeoutAt;
		this.callerDeadlineAt = Math.min(callerDeadlineAt, NO_DEADLINE);
	}

	/**
	 * Records that a part of the response has arrived.
	 * @param now the current time
	 */
	public void recordContent(long now) {
		this.progressAt = now;
	}

	/**
	 * Records that the response is not read because the caller does not take it.
	 * @param now the current time
	 */
	public void recordBlocked(long now) {
		if (!this.blocked) {
			this.blocked = true;
			this.blockedSince = now;
		}
	}

	/**
	 * Records that the caller takes more of the response.
	 * @param now the current time
	 */
	public void recordUnblocked(long now) {
		if (this.blocked) {
			if (blockMs(now) >= MIN_BLOCK_MS) {
				this.blockedMs += blockMs(now);
				this.excusedMs += lateMs(now) - lateMs(this.blockedSince);
			}
			this.blocked = false;
			this.progressAt = now;
			this.decisionAt = Math.max(this.decisionAt, now);
		}
	}

	/**
	 * Tells whether the caller blocks the response.
	 * @return {@code true} if nothing is read from the server
	 */
	public boolean isBlocked() {
		return this.blocked;
	}

	/**
	 * Tells whether the server is the reason that the response is not complete. The
	 * connection of a caller that leaves blocks the response for a moment.
	 * @param now the current time
	 * @return {@code true} if the timeout has passed, or is about to, and the caller has
	 * not blocked the response for long
	 */
	public boolean isServerOverdue(long now) {
		return now >= this.timeoutAt - OVERDUE_MARGIN_MS && this.blockedMs + blockMs(now) < STALL_MS;
	}

	private long blockMs(long now) {
		return this.blocked ? now - this.blockedSince : 0;
	}

	private long lateMs(long at) {
		return Math.max(0, at - this.timeoutAt);
	}

	/**
	 * Decides what follows for the incomplete response.
	 * @param now the current time, not before the timeout
	 * @return the next step
	 */
	public LateResponseStep next(long now) {
		recordPause(now);
		long callerLeftMs = this.callerDeadlineAt + MAX_OVERRUN_MS - now;
		long untilSlowMs = MIN_BLOCK_MS - blockMs(now);
		long leftMs = Math.max(MAX_OVERRUN_MS - (lateMs(now) - this.excusedMs), this.readUntil - now);
		if (untilSlowMs > 0 && leftMs <= (this.blocked ? -MIN_BLOCK_MS : 0)) {
			return new EndResponse(LateResponseCause.OVERLONG);
		}
		if (callerLeftMs <= 0) {
			return new EndResponse(LateResponseCause.CALLER_DEADLINE);
		}
		if (this.blocked) {
			long delayMs = (untilSlowMs > 0) ? Math.min(untilSlowMs, leftMs + MIN_BLOCK_MS) : STALL_MS;
			return awaitMore(now, Math.min(callerLeftMs, delayMs));
		}
		long untilStalledMs = STALL_MS - (now - this.progressAt);
		if (untilStalledMs <= 0) {
			return new EndResponse(LateResponseCause.STALLED);
		}
		return awaitMore(now, Math.min(callerLeftMs, Math.min(leftMs, untilStalledMs)));
	}

	private AwaitMore awaitMore(long now, long delayMs) {
		this.decisionAt = now + delayMs;
		return new AwaitMore(delayMs);
	}

	private void recordPause(long now) {
		if (now - this.decisionAt >= MIN_PAUSE_MS && !this.blocked) {
			this.readUntil = now + READ_AFTER_PAUSE_MS;
			this.progressAt = now;
		}
	}

}
