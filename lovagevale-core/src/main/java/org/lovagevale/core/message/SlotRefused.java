package org.lovagevale.core.message;

/**
 * Refuses a slot request.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the number of the slot request
 * @param cause the name of the {@code RefusalCause}
 * @param retryAfterMs the time after which a retry may succeed, in milliseconds
 * @param region the region that takes the request over, empty if there is none
 */
public record SlotRefused(long number, String cause, int retryAfterMs, String region) implements RegionMessage {
}
