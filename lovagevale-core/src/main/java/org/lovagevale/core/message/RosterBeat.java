package org.lovagevale.core.message;

/**
 * Reports that the sender is alive.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param self the entry of the sender
 */
public record RosterBeat(RosterEntry self) implements RegionMessage {
}
