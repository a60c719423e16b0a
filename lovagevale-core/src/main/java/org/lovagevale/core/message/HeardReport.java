package org.lovagevale.core.message;

/**
 * The last report that a limiter received from another region.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param region the other region
 * @param sequence the number of the report
 */
public record HeardReport(String region, long sequence) {
}
