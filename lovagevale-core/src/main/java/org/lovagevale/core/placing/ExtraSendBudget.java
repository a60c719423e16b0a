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
	private static final long ARRIVAL_MS = 500;

	private final PlacingLimits limits;

	private final ArrayDeque<Long> firsts = new ArrayDeque<>();

	private final ArrayDeque<Long> extras = new ArrayDeque<>();

	ExtraSendBudget(PlacingLimits limits) {
		this.limits = limits;
	}

	void countFirst(long now) {
		this.firsts.addLast(now);
		trim(now);
	}

	/**
	 * Takes the allowance for one extra send.
	 * @param owner whether no other process of the region has a budget for the service
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if there was one
	 */
	boolean tryTake(boolean owner, long now) {
		trim(now);
		if (this.extras.size() + 1 > allowance(owner)) {
			return false;
		}
		this.extras.addLast(now);
		return true;
	}

	double allowance(boolean owner) {
		double constant = this.limits.retryExtra() / Math.max(1, this.limits.regions()) * CONSTANT_SHARE;
		return (owner ? constant : 0) + this.firsts.size() * this.limits.retryRatio() * RATIO_SHARE;
	}

	int used() {
		return this.extras.size();
	}

	private void trim(long now) {
		trim(this.firsts, now - this.limits.retryWindowMs());
		trim(this.extras, now - this.limits.retryWindowMs() - ARRIVAL_MS);
	}

	private static void trim(ArrayDeque<Long> times, long before) {
		while (!times.isEmpty() && times.peekFirst() < before) {
			times.removeFirst();
		}
	}

}
