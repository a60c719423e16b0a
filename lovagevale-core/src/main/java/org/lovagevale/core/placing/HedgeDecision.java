package org.lovagevale.core.placing;

/**
 * Decides when a request that runs at a server is hedged, that is, sent to a second
 * server while the first attempt is in progress.
 *
 * <p>
 * Both entry processes use it. Immutable and thread-safe.
 */
public final class HedgeDecision {

	/**
	 * Reported slowness from which a server counts as slow, as a factor of the usual
	 * time.
	 */
	static final double SLOW_FACTOR = 1.5;

	/**
	 * Time that a hedged request must save, as a share of the usual processing time.
	 * Below it, the first attempt usually responds about as early.
	 */
	private static final double MIN_GAIN_SHARE = 0.5;

	/**
	 * Age of an attempt at which it counts as late, as a multiple of the usual processing
	 * time. Work on the last slot of a server takes 1.7 times as long.
	 */
	private static final double LATE_FACTOR = 2.5;

	private final long delayMs;

	private final int workMs;

	private HedgeDecision(long delayMs, int workMs) {
		this.delayMs = delayMs;
		this.workMs = workMs;
	}

	/**
	 * Returns a decision by age alone.
	 * @param delayMs the age from which an attempt is hedged, in milliseconds; 0 to hedge
	 * none
	 * @return the decision
	 */
	public static HedgeDecision afterDelay(long delayMs) {
		if (delayMs < 0) {
			throw new IllegalArgumentException("delay must not be negative: " + delayMs);
		}
		return new HedgeDecision(delayMs, 0);
	}

	/**
	 * Returns a decision by the usual processing time and the slowness of servers.
	 * @param workMs the usual processing time of the request, in milliseconds
	 * @return the decision
	 */
	public static HedgeDecision forWork(int workMs) {
		int work = Math.max(1, workMs);
		return new HedgeDecision((long) Math.ceil(work * LATE_FACTOR), work);
	}

	/**
	 * Tells whether a request is hedged because of the age of its attempt.
	 * @param candidate the request
	 * @return {@code true} if it is old enough and may be hedged
	 */
	public boolean isDue(HedgeCandidate candidate) {
		return this.delayMs > 0 && candidate.isHedgeable() && candidate.ageMs() >= this.delayMs;
	}

	/**
	 * Tells whether a second server would respond sufficiently earlier than a slow first
	 * one.
	 * @param candidate the request
	 * @param firstFactor the slowness of the first server when the work started, as a
	 * factor of the usual time
	 * @param secondFactor the present slowness of the second server
	 * @return {@code true} if a hedged request is worthwhile
	 */
	public boolean isWorthwhile(HedgeCandidate candidate, double firstFactor, double secondFactor) {
		double savedMs = this.workMs * (firstFactor - secondFactor) - candidate.ageMs();
		return candidate.isHedgeable() && isSlow(firstFactor) && !isSlow(secondFactor)
				&& savedMs >= this.workMs * MIN_GAIN_SHARE;
	}

	/**
	 * Tells whether a reported slowness marks a server as slow.
	 * @param factor the slowness as a factor of the usual time
	 * @return {@code true} if it is slow
	 */
	static boolean isSlow(double factor) {
		return factor >= SLOW_FACTOR;
	}

}
