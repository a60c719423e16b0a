package org.lovagevale.core.message;

/**
 * Asks for a {@link RosterList} of all processes of the region that the receiver knows.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param knownCount how many the sender knows
 */
public record RosterRequest(int knownCount) implements RegionMessage {
}
