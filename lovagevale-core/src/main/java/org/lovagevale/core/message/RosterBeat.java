package org.lovagevale.core.message;

/**
 * Tells that the sender is alive.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param self the sender
 */
public record RosterBeat(RosterEntry self) implements RegionMessage {
}
