package org.lovagevale.core.limit;

import org.lovagevale.base.RandomSource;

/**
 * The tokens of one account with which an entry VM decides locally.
 *
 * <p>
 * A token falls due at regular intervals, of which the first begins at a random phase,
 * and expires {@link #VALID_MS} later. Of many VMs with a rate of less than one token in
 * a window, so many have a token at a time as the sum of their rates permits; tokens that
 * are kept would allow all of them a request at once. Not thread-safe.
 */
final class LocalTokens {

	/** Time for which a token can be used, in milliseconds. */
	private static final long VALID_MS = 500;

	private static final int PHASES = 1 << 20;

	private static final double MS_PER_SECOND = 1_000;

	/** The tokens that fell due so far, with the phase. */
	private double due;

	private double used;

	private long countedAt;

	LocalTokens(RandomSource random, long now) {
		this.due = random.nextInt(PHASES) / (double) PHASES;
		this.countedAt = now;
	}

	/**
	 * Takes a token if one is available.
	 * @param ratePerSecond the rate at which tokens fall due
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if a token was taken
	 */
	boolean tryTake(double ratePerSecond, long now) {
		this.due += Math.max(0, now - this.countedAt) * ratePerSecond / MS_PER_SECOND;
		this.countedAt = Math.max(this.countedAt, now);
		double expired = Math.floor(this.due - ratePerSecond * VALID_MS / MS_PER_SECOND);
		this.used = Math.max(this.used, expired);
		if (Math.floor(this.due) <= this.used) {
			return false;
		}
		this.used++;
		return true;
	}

}
