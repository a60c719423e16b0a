package org.lovagevale.core.message;

/**
 * Tells that no slot is given.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the question
 * @param cause the name of its {@code RefusalCause}
 * @param retryAfterMs when it is worth coming back, in milliseconds
 */
public record SlotRefused(long number, String cause, int retryAfterMs) implements RegionMessage {
}
