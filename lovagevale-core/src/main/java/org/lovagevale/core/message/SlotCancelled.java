package org.lovagevale.core.message;

/**
 * Withdraws a question that waits.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the question
 */
public record SlotCancelled(long number) implements RegionMessage {
}
