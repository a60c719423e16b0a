package org.lovagevale.gateway;

import java.util.List;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.core.limit.AccountPolicy;
import org.lovagevale.core.placing.PlacingLimits;

/**
 * The settings of an entry process.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name that operators use for the VM; it is only logged
 * @param domain the failure domain of the VM
 * @param region the region of the VM
 * @param capacity the CPU time available to the VM, in percent of one core
 * @param callerAddress the address on which the process accepts connections of callers
 * @param peerAddress the address on which the process accepts connections of other entry
 * processes
 * @param seeds the peer addresses that are contacted to discover other entry processes
 * @param limits the limits on placing requests on backend servers
 * @param stopMs the maximum duration of a planned stop, in milliseconds
 * @param addressTtlMs the time for which callers may cache addresses, in milliseconds
 * @param accountPolicy the rules for client accounts
 */
public record GatewaySettings(String name, FailureDomain domain, Region region, int capacity, HostPort callerAddress,
		HostPort peerAddress, List<HostPort> seeds, PlacingLimits limits, long stopMs, long addressTtlMs,
		AccountPolicy accountPolicy) {

	/**
	 * Creates settings with a copy of the seeds.
	 */
	public GatewaySettings {
		seeds = List.copyOf(seeds);
	}

	/**
	 * Creates settings with the default rules for client accounts.
	 * @param name the name that operators use for the VM
	 * @param domain the failure domain of the VM
	 * @param region the region of the VM
	 * @param capacity the CPU time available to the VM, in percent of one core
	 * @param callerAddress the address for connections of callers
	 * @param peerAddress the address for connections of other entry processes
	 * @param seeds the peer addresses that are contacted to discover other entry
	 * processes
	 * @param limits the limits on placing requests on backend servers
	 * @param stopMs the maximum duration of a planned stop, in milliseconds
	 * @param addressTtlMs the time for which callers may cache addresses, in milliseconds
	 */
	public GatewaySettings(String name, FailureDomain domain, Region region, int capacity, HostPort callerAddress,
			HostPort peerAddress, List<HostPort> seeds, PlacingLimits limits, long stopMs, long addressTtlMs) {
		this(name, domain, region, capacity, callerAddress, peerAddress, seeds, limits, stopMs, addressTtlMs,
				AccountPolicy.DEFAULT);
	}

}
