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
 * @param name the name that operators use for the VM
 * @param domain its failure domain
 * @param region its region
 * @param capacity the processor time that this VM may use, in percent of a core
 * @param callers where callers connect
 * @param peers where peers connect
 * @param seeds where other entry processes may be found
 * @param limits the limits that placing has to keep
 * @param stopMs the time that a planned stop may take, in milliseconds
 * @param addressTtlMs how long callers may keep addresses, in milliseconds
 */
public record GatewaySettings(String name, FailureDomain domain, Region region, int capacity, HostPort callers,
		HostPort peers, List<HostPort> seeds, PlacingLimits limits, long stopMs, long addressTtlMs) {

	/**
	 * Copies the seeds.
	 */
	public GatewaySettings {
		seeds = List.copyOf(seeds);
	}

}
