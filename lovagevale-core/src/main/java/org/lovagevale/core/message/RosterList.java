package org.lovagevale.core.message;

import java.util.List;

/**
 * Lists the entry processes that the sender knows.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param entries the known processes
 */
public record RosterList(List<RosterEntry> entries) implements RegionMessage {
}
