package org.lovagevale.core.catalog;

import org.lovagevale.base.ServiceName;

/**
 * The share of the requests of a route that goes to one service.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param service the service
 * @param weight its weight relative to the other shares, not negative
 */
public record TrafficShare(ServiceName service, double weight) {

	/**
	 * Checks the weight.
	 * @throws IllegalArgumentException if the weight is negative or not a number
	 */
	public TrafficShare {
		if (!(weight >= 0)) {
			throw new IllegalArgumentException("weight of " + service + " must not be negative or NaN: " + weight);
		}
	}

}
