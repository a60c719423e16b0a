package org.lovagevale.core.message;

/**
 * Reports that a slot request is queued until a slot is free.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the number of the slot request
 */
public record SlotQueued(long number) implements RegionMessage {
}
