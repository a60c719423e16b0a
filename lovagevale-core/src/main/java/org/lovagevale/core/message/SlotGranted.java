package org.lovagevale.core.message;

/**
 * Gives a slot.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the question
 * @param server the server
 * @param why the figures that decided, for the log
 */
public record SlotGranted(long number, String server, String why) implements RegionMessage {
}
