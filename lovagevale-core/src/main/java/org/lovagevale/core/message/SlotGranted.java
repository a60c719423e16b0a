package org.lovagevale.core.message;

/**
 * Grants a slot on a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the number of the slot request
 * @param server the name of the backend server
 * @param why the figures that led to the selection, for the log
 */
public record SlotGranted(long number, String server, String why) implements RegionMessage {
}
