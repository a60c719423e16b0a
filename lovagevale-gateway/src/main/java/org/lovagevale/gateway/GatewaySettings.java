package org.lovagevale.gateway;

import java.util.List;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.core.placing.PlacingLimits;

/**
 * The settings of an entry process.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name of the VM for operators
 * @param domain the failure domain of the VM
 * @param region the region of the VM
 * @param capacity the CPU time available to the VM, in percent of one core
 * @param callers the address on which callers connect
 * @param peers the address on which peers connect
 * @param seeds the peer addresses that are contacted to discover other entry processes
 * @param limits the limits for the placing of requests on backend servers
 * @param stopMs the maximum duration of a planned stop, in milliseconds
 * @param addressTtlMs the time for which callers may cache addresses, in milliseconds
 */
public record GatewaySettings(String name, FailureDomain domain, Region region, int capacity, HostPort callers,
		HostPort peers, List<HostPort> seeds, PlacingLimits limits, long stopMs, long addressTtlMs) {

	/**
	 * Creates settings with a copy of the seeds.
	 */
	public GatewaySettings {
		seeds = List.copyOf(seeds);
	}

}
