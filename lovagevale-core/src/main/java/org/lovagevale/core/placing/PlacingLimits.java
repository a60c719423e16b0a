package org.lovagevale.core.placing;

/**
 * The limits on retries and on cold servers that were agreed with the operators.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param retryRatio the permitted retries per first send
 * @param retryWindowMs the sliding window in which sends are counted, in milliseconds
 * @param retryExtra the retries permitted per window in addition to the ratio, summed
 * over all regions
 * @param regions the number of regions
 * @param coldFactor the factor by which the rate of a cold server may be exceeded
 * @param coldSlack the requests per second that a cold server may get in addition
 * @param secondSendShare the permitted hedged requests per first attempt of a service, 0
 * for none
 * @param regionOverflow whether dispatchers move requests to other regions before their
 * own region is full
 */
public record PlacingLimits(double retryRatio, long retryWindowMs, double retryExtra, int regions, double coldFactor,
		double coldSlack, double secondSendShare, boolean regionOverflow) {

	/** Maximum of the permitted hedged requests per first attempt. */
	public static final double MAX_SECOND_SEND_SHARE = 0.2;

	/**
	 * Checks the share of hedged requests.
	 */
	public PlacingLimits {
		if (!(secondSendShare >= 0 && secondSendShare <= MAX_SECOND_SEND_SHARE)) {
			throw new IllegalArgumentException(
					"secondSendShare must be from 0 to " + MAX_SECOND_SEND_SHARE + ": " + secondSendShare);
		}
	}

	/**
	 * Creates limits that permit neither hedged requests nor overflow between regions.
	 * @param retryRatio the permitted retries per first send
	 * @param retryWindowMs the sliding window in which sends are counted, in milliseconds
	 * @param retryExtra the retries permitted per window in addition to the ratio
	 * @param regions the number of regions
	 * @param coldFactor the factor by which the rate of a cold server may be exceeded
	 * @param coldSlack the requests per second that a cold server may get in addition
	 */
	public PlacingLimits(double retryRatio, long retryWindowMs, double retryExtra, int regions, double coldFactor,
			double coldSlack) {
		this(retryRatio, retryWindowMs, retryExtra, regions, coldFactor, coldSlack, 0, false);
	}

	/**
	 * Returns these limits with another share of hedged requests.
	 * @param share the permitted hedged requests per first attempt
	 * @return the new limits
	 */
	public PlacingLimits withSecondSendShare(double share) {
		return new PlacingLimits(this.retryRatio, this.retryWindowMs, this.retryExtra, this.regions, this.coldFactor,
				this.coldSlack, share, this.regionOverflow);
	}

	/**
	 * Returns these limits with another rule on overflow between regions.
	 * @param enabled whether dispatchers move requests to other regions
	 * @return the new limits
	 */
	public PlacingLimits withRegionOverflow(boolean enabled) {
		return new PlacingLimits(this.retryRatio, this.retryWindowMs, this.retryExtra, this.regions, this.coldFactor,
				this.coldSlack, this.secondSendShare, enabled);
	}

}
