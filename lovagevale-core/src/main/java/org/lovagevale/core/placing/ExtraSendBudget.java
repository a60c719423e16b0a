package org.lovagevale.core.placing;

import java.util.ArrayDeque;

/**
 * Bounds how often requests are sent to a further server.
 *
 * <p>
 * Invariant: in any window the extra sends stay below the ratio of the first sends plus a
 * constant. The constant is a share of a region's part, which leaves room for a
 * dispatcher that replaces another one within a window. Not thread-safe.
 */
final class ExtraSendBudget {

	/** Share of a region's part of the constant that one dispatcher uses. */
	private static final double CONSTANT_SHARE = 0.6;

	/** Share of the ratio that is used; callers' own retries are uneven. */
	private static final double RATIO_SHARE = 0.85;

	/** Sends take this long to arrive at most, in milliseconds. */
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
	 * Takes the allowance for one extra send.
	 * @param owner whether no other process of the region has a budget for the service
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if there was one
	 */
	boolean tryAcquire(boolean owner, long now) {
		trim(now);
		if (this.extraSends.size() + 1 > allowance(owner)) {
			return false;
		}
		this.extraSends.addLast(now);
		return true;
	}

	double allowance(boolean owner) {
		double constant = this.limits.retryExtra() / Math.max(1, this.limits.regions()) * CONSTANT_SHARE;
		return (owner ? constant : 0) + this.firstSends.size() * this.limits.retryRatio() * RATIO_SHARE;
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
