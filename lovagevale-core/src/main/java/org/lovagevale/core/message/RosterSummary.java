package org.lovagevale.core.message;

import java.util.List;

/**
 * Lists the serving entry processes of the region. It is sent by a process that receives
 * the roster messages of all of them.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vms the names of their VMs
 */
public record RosterSummary(List<String> vms) implements RegionMessage {
}
