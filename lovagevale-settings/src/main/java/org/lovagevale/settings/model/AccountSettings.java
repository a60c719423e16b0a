package org.lovagevale.settings.model;

import java.util.Set;

import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;

/**
 * A client account with its effective values, including those inherited from its parents.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name
 * @param homeRegions the only regions that may serve it, empty for all
 * @param ratePerSecond requests per second that one entry process admits, 0 for no limit
 * @param burst requests admitted at once above the rate
 * @param weight its share under overload relative to other accounts, positive
 */
public record AccountSettings(AccountName name, Set<Region> homeRegions, int ratePerSecond, int burst, int weight) {

	/**
	 * Copies the set.
	 */
	public AccountSettings {
		homeRegions = Set.copyOf(homeRegions);
	}

}
