package org.lovagevale.core.placing;

import java.util.ArrayDeque;

/**
 * Limits how often requests are sent again after a failed attempt. A slot that is
 * released unused counts neither as a first nor as an extra send.
 *
 * <p>
 * Invariant: in any window, the extra sends that all dispatchers of a service permit,
 * also those that replace each other within the window, stay below a ratio of the number
 * of first sends plus a constant, {@link PlacingLimits#retryExtra()}. For this, a budget
 * starts almost empty: each first send adds to it, and so does the time for which the
 * dispatcher is the sole owner of the service. What is not used is kept only to a bounded
 * amount, since a successor earns its own budget at the same rate. Not thread-safe.
 */
final class ExtraSendBudget {

	/**
	 * Share of a region's part of the constant that is earned per window and also the
	 * share that is kept at most. A window contains what was kept at its start, what is
	 * earned in it and the initial credits of new dispatchers.
	 */
	private static final double CONSTANT_SHARE = 0.4;

	/**
	 * Extra sends that a new dispatcher may permit as the sole owner, so that a service
	 * with few requests has one after a start.
	 */
	private static final double INITIAL_CREDIT = 1;

	/**
	 * Share of the permitted ratio that each first send adds. The first sends of one
	 * window and those of which the credit was kept are then within the ratio.
	 */
	private static final double RATIO_SHARE = 0.8;

	/** Share of a window whose first sends determine the kept credit. */
	private static final double KEPT_WINDOW_SHARE = 0.25;

	/**
	 * Maximum time between two observations of the ownership that counts as owned, in
	 * milliseconds. It is shorter than the time that a loss and recovery of the ownership
	 * takes.
	 */
	private static final long MAX_OBSERVATION_GAP_MS = 1_000;

	/** Share of the budget that hedged requests leave for retries. */
	private static final double RETRY_RESERVE_SHARE = 0.5;

	private final PlacingLimits limits;

	private final ArrayDeque<Long> recentFirstSends = new ArrayDeque<>();

	/** Extra sends that the first sends permit. */
	private double ratioCredit;

	/** Extra sends that the time as the sole owner permits. */
	private double constantCredit;

	private boolean soleOwner;

	private boolean hadInitialCredit;

	private long observedAt;

	ExtraSendBudget(PlacingLimits limits) {
		this.limits = limits;
	}

	/**
	 * Records whether this dispatcher is the sole owner of the service. To be called
	 * before each first send and each acquisition, and from time to time besides.
	 * @param owner whether no other process of the region has a budget for the service
	 * @param now the monotonic time in milliseconds
	 */
	void observeOwnership(boolean owner, long now) {
		double max = maxConstantCredit();
		double perMs = max / this.limits.retryWindowMs();
		long elapsedMs = now - this.observedAt;
		long ownedMs = (owner && this.soleOwner) ? Math.min(elapsedMs, MAX_OBSERVATION_GAP_MS) : 0;
		// Another process may earn the constant in the time that is not owned.
		double kept = Math.max(0, this.constantCredit - (elapsedMs - ownedMs) * perMs);
		this.constantCredit = Math.min(max, kept + ownedMs * perMs);
		if (owner && !this.hadInitialCredit) {
			this.hadInitialCredit = true;
			this.constantCredit = INITIAL_CREDIT;
		}
		this.soleOwner = owner;
		this.observedAt = now;
	}

	void recordFirstSend(long now) {
		this.recentFirstSends.addLast(now);
		this.ratioCredit += this.limits.retryRatio() * RATIO_SHARE;
		limitRatioCredit(now);
	}

	/**
	 * Consumes the budget for one extra send if there is any left.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the extra send is permitted
	 */
	boolean tryAcquire(long now) {
		limitRatioCredit(now);
		if (this.ratioCredit >= 1) {
			this.ratioCredit--;
			return true;
		}
		if (this.soleOwner && this.constantCredit >= 1) {
			this.constantCredit--;
			return true;
		}
		return false;
	}

	/**
	 * Consumes the budget for one hedged request if more than the part reserved for
	 * retries is left.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the hedged request is permitted
	 */
	boolean tryAcquireSpare(long now) {
		limitRatioCredit(now);
		double max = maxRatioCredit() + (this.soleOwner ? maxConstantCredit() : 0);
		return left() - 1 >= max * RETRY_RESERVE_SHARE && tryAcquire(now);
	}

	/**
	 * Takes back a send that was recorded but not made.
	 * @param purpose the purpose of the send
	 * @param recordedAt the monotonic time at which it was recorded, in milliseconds
	 */
	void recordUnused(SendPurpose purpose, long recordedAt) {
		switch (purpose) {
			case FIRST -> {
				this.recentFirstSends.removeLastOccurrence(recordedAt);
				this.ratioCredit = Math.max(0, this.ratioCredit - this.limits.retryRatio() * RATIO_SHARE);
			}
			case RETRY, HEDGE -> this.ratioCredit++;
		}
	}

	/**
	 * Returns the number of extra sends that are still permitted.
	 * @return the number
	 */
	double left() {
		return this.ratioCredit + (this.soleOwner ? this.constantCredit : 0);
	}

	private void limitRatioCredit(long now) {
		long keptSince = now - (long) (this.limits.retryWindowMs() * KEPT_WINDOW_SHARE);
		while (!this.recentFirstSends.isEmpty() && this.recentFirstSends.element() < keptSince) {
			this.recentFirstSends.remove();
		}
		this.ratioCredit = Math.min(maxRatioCredit(), this.ratioCredit);
	}

	private double maxRatioCredit() {
		return Math.max(1, this.recentFirstSends.size() * this.limits.retryRatio() * RATIO_SHARE);
	}

	private double maxConstantCredit() {
		return this.limits.retryExtra() / Math.max(1, this.limits.regions()) * CONSTANT_SHARE;
	}

}
