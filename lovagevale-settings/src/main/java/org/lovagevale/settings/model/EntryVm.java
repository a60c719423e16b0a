package org.lovagevale.settings.model;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;

/**
 * An entry VM of the settings tree.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name, which stays the same when the machine is replaced
 * @param domain its failure domain
 * @param region its region
 * @param host its IP address
 * @param callerPort the TCP port for callers
 * @param peerPort the TCP port for other entry processes
 * @param adminPort the TCP port for operators
 * @param out whether it, its failure domain or its region is out of service
 */
public record EntryVm(VmName name, FailureDomain domain, Region region, String host, int callerPort, int peerPort,
		int adminPort, boolean out) {
}
