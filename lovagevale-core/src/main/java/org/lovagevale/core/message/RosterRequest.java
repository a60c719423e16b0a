package org.lovagevale.core.message;

/**
 * Asks for a {@link RosterList} of all processes of the region that the receiver knows.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param known how many the sender knows
 */
public record RosterRequest(int known) implements RegionMessage {
}
