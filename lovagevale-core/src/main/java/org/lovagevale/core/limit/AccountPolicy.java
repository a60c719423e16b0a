package org.lovagevale.core.limit;

import org.lovagevale.core.catalog.RateLimit;

/**
 * The rules for client accounts that were agreed with the operators.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param windowMs the sliding window in which the requests of an account are counted, in
 * milliseconds
 * @param overage the share by which the requests in a window may exceed the limit
 * @param slack the requests in a window by which they may exceed it in addition
 * @param strictRevocation whether credentials are refused while they may have been
 * revoked
 * @param revocationMs the time without confirmation of the catalog after which they may
 * have been revoked, in milliseconds
 */
public record AccountPolicy(long windowMs, double overage, double slack, boolean strictRevocation, long revocationMs) {

	/** The rules of deployments that state none. */
	public static final AccountPolicy DEFAULT = new AccountPolicy(5_000, 0.25, 20, false, 5_000);

	private static final double MS_PER_SECOND = 1_000;

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if a time is not positive or another number is
	 * negative
	 */
	public AccountPolicy {
		if (windowMs <= 0 || revocationMs <= 0) {
			throw new IllegalArgumentException(
					"window of " + windowMs + " ms and revocation of " + revocationMs + " ms must be positive");
		}
		if (!(overage >= 0) || !(slack >= 0)) {
			throw new IllegalArgumentException("overage " + overage + " and slack " + slack + " must not be negative");
		}
	}

	/**
	 * Returns the number of requests of an account that may reach backend servers in one
	 * window.
	 * @param limit the limit of the account
	 * @return the number, summed over all entry VMs
	 */
	public double bound(RateLimit limit) {
		return limited(limit) * (1 + this.overage) + this.slack;
	}

	private double limited(RateLimit limit) {
		return limit.ratePerSecond() * this.windowMs / MS_PER_SECOND + limit.burst();
	}

}
