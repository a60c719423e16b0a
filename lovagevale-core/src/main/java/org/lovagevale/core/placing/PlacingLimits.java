package org.lovagevale.core.placing;

/**
 * The limits that placing has to keep, as agreed with the operators.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param retryRatio the extra requests allowed for each request
 * @param retryWindowMs the window in which they are counted, in milliseconds
 * @param retryExtra the extra requests allowed besides, over all regions
 * @param regions the number of regions
 * @param coldFactor the factor by which a cold server's rate may be exceeded
 * @param coldSlack the requests a second that a cold server may get besides
 */
public record PlacingLimits(double retryRatio, long retryWindowMs, double retryExtra, int regions, double coldFactor,
		double coldSlack) {
}
