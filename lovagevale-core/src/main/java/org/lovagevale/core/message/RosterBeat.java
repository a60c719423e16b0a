package org.lovagevale.core.message;

/**
 * Reports that the sender is alive.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param self the entry of the sender
 * @param sentAtMs the monotonic time of the sender, in milliseconds; 0 if not stated, as
 * by a process of an older version
 */
public record RosterBeat(RosterEntry self, long sentAtMs) implements RegionMessage {
}
