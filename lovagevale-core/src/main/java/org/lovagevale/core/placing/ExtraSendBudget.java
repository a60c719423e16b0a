package org.lovagevale.core.placing;

import java.util.ArrayDeque;

/**
 * Limits how often requests are sent again after a failed attempt. A slot that is
 * released unused counts neither as a first nor as an extra send.
 *
 * <p>
 * Invariant: in any window, the number of extra sends stays below a ratio of the number
 * of first sends plus a constant, {@link PlacingLimits#retryExtra()}. One dispatcher uses
 * only a share of its region's part of the constant, which leaves room for a dispatcher
 * that replaces another one within the same window. Not thread-safe.
 */
final class ExtraSendBudget {

	/** Share of a region's part of the constant that one dispatcher may use. */
	private static final double CONSTANT_SHARE = 0.6;

	/**
	 * Share of the permitted ratio that is used. The rest is a margin, since the retries
	 * of the callers themselves are unevenly distributed.
	 */
	private static final double RATIO_SHARE = 0.85;

	/** Maximum time between a send and its arrival at the server, in milliseconds. */
	private static final long MAX_ARRIVAL_DELAY_MS = 500;

	private final PlacingLimits limits;

	private final ArrayDeque<Long> firstSends = new ArrayDeque<>();

	private final ArrayDeque<Long> extraSends = new ArrayDeque<>();

	ExtraSendBudget(PlacingLimits limits) {
		this.limits = limits;
	}

	void recordFirstSend(long now) {
		this.firstSends.addLast(now);
		trim(now);
	}

	/**
	 * Consumes the budget for one extra send if there is any left.
	 * @param soleOwner whether no other process of the region has a budget for the
	 * service; only then the constant is available
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the extra send is permitted
	 */
	boolean tryAcquire(boolean soleOwner, long now) {
		trim(now);
		if (this.extraSends.size() + 1 > allowance(soleOwner)) {
			return false;
		}
		this.extraSends.addLast(now);
		return true;
	}

	/**
	 * Takes back a send that was recorded but not made.
	 * @param purpose the purpose of the send
	 * @param recordedAt the monotonic time at which it was recorded, in milliseconds
	 */
	void recordUnused(SendPurpose purpose, long recordedAt) {
		ArrayDeque<Long> sends = switch (purpose) {
			case FIRST -> this.firstSends;
			case RETRY -> this.extraSends;
		};
		sends.removeLastOccurrence(recordedAt);
	}

	double allowance(boolean soleOwner) {
		double constant = this.limits.retryExtra() / Math.max(1, this.limits.regions()) * CONSTANT_SHARE;
		return (soleOwner ? constant : 0) + this.firstSends.size() * this.limits.retryRatio() * RATIO_SHARE;
	}

	int used() {
		return this.extraSends.size();
	}

	private void trim(long now) {
		trim(this.firstSends, now - this.limits.retryWindowMs());
		trim(this.extraSends, now - this.limits.retryWindowMs() - MAX_ARRIVAL_DELAY_MS);
	}

	private static void trim(ArrayDeque<Long> times, long before) {
		while (!times.isEmpty() && times.peekFirst() < before) {
			times.removeFirst();
		}
	}

}
