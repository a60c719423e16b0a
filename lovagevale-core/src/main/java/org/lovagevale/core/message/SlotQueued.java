package org.lovagevale.core.message;

/**
 * Tells that a question waits for a free slot.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the question
 */
public record SlotQueued(long number) implements RegionMessage {
}
