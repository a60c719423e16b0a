package org.lovagevale.core.catalog;

/**
 * The permitted request rate of a client account, summed over all entry VMs.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param ratePerSecond the requests per second; 0 if the rate is not limited
 * @param burst the requests that are permitted at once in addition to the rate
 */
public record RateLimit(double ratePerSecond, double burst) {

	/** No limit. */
	public static final RateLimit NONE = new RateLimit(0, 0);

	/** Largest rate and burst; a larger number is taken for an error. */
	private static final double MAX = 1e9;

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if one of them is negative, not a number or above
	 * a billion
	 */
	public RateLimit {
		requireValid("rate", ratePerSecond);
		requireValid("burst", burst);
	}

	private static void requireValid(String name, double value) {
		if (!(value >= 0 && value <= MAX)) {
			throw new IllegalArgumentException(name + " is " + value + ", expected 0 to " + (long) MAX);
		}
	}

	/**
	 * Tells whether the rate is limited.
	 * @return {@code true} if it is
	 */
	public boolean isLimited() {
		return this.ratePerSecond > 0;
	}

}
