package org.lovagevale.core.message;

import java.util.List;

/**
 * Tells which entry processes of the region serve, by a process that hears all of them.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vms the names of their VMs
 */
public record RosterSummary(List<String> vms) implements RegionMessage {
}
