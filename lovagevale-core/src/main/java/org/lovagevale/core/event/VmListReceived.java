package org.lovagevale.core.event;

import java.util.Set;

/**
 * The list of entry VMs and backend servers was read from the platform.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param leaving names of VMs and backend servers that are leaving
 * @param live names of VMs and backend servers that are live
 */
public record VmListReceived(Set<String> leaving, Set<String> live) implements Event {
}
