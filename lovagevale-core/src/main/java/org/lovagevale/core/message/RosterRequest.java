package org.lovagevale.core.message;

/**
 * Requests a {@link RosterList} of all processes of the region that the receiver knows.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param knownCount the number of processes that the sender knows
 */
public record RosterRequest(int knownCount) implements RegionMessage {
}
