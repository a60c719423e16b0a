package org.lovagevale.core.message;

import java.util.List;

/**
 * Tells which entry processes the sender knows.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param entries the processes
 */
public record RosterList(List<RosterEntry> entries) implements RegionMessage {
}
