package org.lovagevale.core.message;

import java.util.List;

/**
 * Reports the demand of client accounts in one region to the limiters of the others.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param region the region
 * @param sequence the number of the report; its upper bits identify the limiter
 * @param byDemand whether the region uses its share by demand, not that of an isolated
 * region
 * @param heard the last reports that the limiter received from other regions
 * @param demands the demand of the accounts that have some
 */
public record AccountDemand(String region, long sequence, boolean byDemand, List<HeardReport> heard,
		List<DemandEntry> demands) implements RegionMessage {

	/**
	 * Copies the lists.
	 */
	public AccountDemand {
		heard = List.copyOf(heard);
		demands = List.copyOf(demands);
	}

}
