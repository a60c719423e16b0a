package org.lovagevale.core.message;

/**
 * Withdraws a queued slot request.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the number of the slot request
 */
public record SlotCancelled(long number) implements RegionMessage {
}
