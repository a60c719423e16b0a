package org.lovagevale.core.catalog;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;

/**
 * The handling of the requests for one host and path prefix.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name of the route for operators
 * @param host the host in lower case
 * @param prefix the path prefix, beginning and ending with a slash
 * @param kind tells whether requests may be executed more than once
 * @param timeoutMs the maximum time until a request is answered, in milliseconds
 * @param targetMs the target latency of responses, in milliseconds
 * @param priority the priority, 0 being the highest
 * @param maxAttempts the maximum number of servers that one request is sent to
 * @param shares the services with their shares of the requests, at least one
 * @param homeRegions the regions in which requests may be served; empty for all
 * @param isPublic whether requests need no credential
 */
public record Route(String name, String host, String prefix, RequestKind kind, long timeoutMs, long targetMs,
		int priority, int maxAttempts, List<TrafficShare> shares, Set<Region> homeRegions, boolean isPublic) {

	/**
	 * Copies the collections and checks that there is a service.
	 * @throws IllegalArgumentException if there is no service
	 */
	public Route {
		shares = List.copyOf(shares);
		homeRegions = Set.copyOf(homeRegions);
		if (shares.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " has no service");
		}
	}

	/**
	 * Creates a route that is not public.
	 * @param name the name of the route for operators
	 * @param host the host in lower case
	 * @param prefix the path prefix, beginning and ending with a slash
	 * @param kind tells whether requests may be executed more than once
	 * @param timeoutMs the maximum time until a request is answered, in milliseconds
	 * @param targetMs the target latency of responses, in milliseconds
	 * @param priority the priority, 0 being the highest
	 * @param maxAttempts the maximum number of servers that one request is sent to
	 * @param shares the services with their shares of the requests, at least one
	 * @param homeRegions the regions in which requests may be served; empty for all
	 */
	public Route(String name, String host, String prefix, RequestKind kind, long timeoutMs, long targetMs, int priority,
			int maxAttempts, List<TrafficShare> shares, Set<Region> homeRegions) {
		this(name, host, prefix, kind, timeoutMs, targetMs, priority, maxAttempts, shares, homeRegions, false);
	}

	/**
	 * Returns this route as it applies to the requests of a client account.
	 * @param account the account
	 * @return the route with the priority of the account, if it has one, and the home
	 * regions that both allow; {@code null} if there are none
	 */
	public @Nullable Route forAccount(ClientAccount account) {
		Set<Region> common = commonRegions(account.homeRegions());
		if (common == null) {
			return null;
		}
		return new Route(this.name, this.host, this.prefix, this.kind, this.timeoutMs, this.targetMs,
				account.priority().orElse(this.priority), this.maxAttempts, this.shares, common, this.isPublic);
	}

	private @Nullable Set<Region> commonRegions(Set<Region> others) {
		if (others.isEmpty()) {
			return this.homeRegions;
		}
		if (this.homeRegions.isEmpty()) {
			return others;
		}
		Set<Region> common = new HashSet<>(this.homeRegions);
		common.retainAll(others);
		return common.isEmpty() ? null : common;
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
	 * Returns the service at a position in the weighted shares, so that a uniformly
	 * random position distributes requests by weight.
	 * @param position a number from 0 (inclusive) to 1 (exclusive)
	 * @return the service
	 */
	public ServiceName serviceAt(double position) {
		double total = this.shares.stream().mapToDouble(TrafficShare::weight).sum();
		double remaining = position * total;
		for (TrafficShare share : this.shares) {
			remaining -= share.weight();
			if (remaining < 0) {
				return share.service();
			}
		}
		return this.shares.getLast().service();
	}

}
