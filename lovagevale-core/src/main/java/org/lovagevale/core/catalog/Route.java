package org.lovagevale.core.catalog;

import java.util.List;
import java.util.Set;

import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;

/**
 * Where the requests of one host and path prefix go, and how.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name that operators use
 * @param host the host in lower case
 * @param prefix the path prefix, beginning and ending with a slash
 * @param kind what may be repeated
 * @param timeoutMs the longest time a request is kept, in milliseconds
 * @param targetMs the time within which a response has its full value, in milliseconds
 * @param priority the rank, 0 being served first
 * @param maxAttempts the most servers that one request is sent to
 * @param shares the services, at least one
 * @param homeRegions the regions in which requests may be served; empty for all
 */
public record Route(String name, String host, String prefix, RequestKind kind, long timeoutMs, long targetMs,
		int priority, int maxAttempts, List<TrafficShare> shares, Set<Region> homeRegions) {

	/**
	 * Copies the collections and checks that there is a service.
	 * @throws IllegalArgumentException if there is no service
	 */
	public Route {
		shares = List.copyOf(shares);
		homeRegions = Set.copyOf(homeRegions);
		if (shares.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " names no service");
		}
	}

	/**
	 * Tells whether requests may be served in a region.
	 * @param region the region
	 * @return {@code true} if they may
	 */
	public boolean isAllowedIn(Region region) {
		return this.homeRegions.isEmpty() || this.homeRegions.contains(region);
	}

	/**
	 * Returns the service of a position in the weighted shares.
	 * @param position a number from 0 to 1, 1 excluded
	 * @return the service
	 */
	public ServiceName serviceAt(double position) {
		double total = this.shares.stream().mapToDouble(TrafficShare::weight).sum();
		double left = position * total;
		for (TrafficShare share : this.shares) {
			left -= share.weight();
			if (left < 0) {
				return share.service();
			}
		}
		return this.shares.getLast().service();
	}

}
