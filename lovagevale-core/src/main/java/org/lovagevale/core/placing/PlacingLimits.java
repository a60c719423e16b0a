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
 */
public record PlacingLimits(double retryRatio, long retryWindowMs, double retryExtra, int regions, double coldFactor,
		double coldSlack) {
}
