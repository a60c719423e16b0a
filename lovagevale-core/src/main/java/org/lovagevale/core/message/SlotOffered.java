package org.lovagevale.core.message;

/**
 * Offers a second slot for a request whose first attempt is late, so that it can be
 * hedged.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the number of the slot request that was granted
 * @param server the name of the second backend server
 * @param reason the figures that led to the offer, for the log
 */
public record SlotOffered(long number, String server, String reason) implements RegionMessage {
}
