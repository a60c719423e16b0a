package org.lovagevale.core.catalog;

import java.util.OptionalInt;
import java.util.Set;

import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;

/**
 * A client account and the handling of its requests.
 *
 * <p>
 * Credentials are secrets and do not occur in {@link #toString()}. Immutable and
 * thread-safe.
 *
 * @param name the name of the account
 * @param credentials the credentials, one of which each request must carry
 * @param priority the priority that replaces that of the route, 0 being the highest;
 * empty if the priority of the route applies
 * @param limit the permitted request rate
 * @param homeRegions the regions in which requests may be served; empty for all
 */
public record ClientAccount(AccountName name, Set<String> credentials, OptionalInt priority, RateLimit limit,
		Set<Region> homeRegions) {

	/**
	 * Copies the collections and checks the credentials and the priority.
	 * @throws IllegalArgumentException if a credential is blank or the priority negative
	 */
	public ClientAccount {
		credentials = Set.copyOf(credentials);
		homeRegions = Set.copyOf(homeRegions);
		if (credentials.stream().anyMatch(String::isBlank)) {
			throw new IllegalArgumentException("client account " + name + " has a blank credential");
		}
		if (priority.isPresent() && priority.getAsInt() < 0) {
			throw new IllegalArgumentException(
					"priority of client account " + name + " is negative: " + priority.getAsInt());
		}
	}

	@Override
	public String toString() {
		return "ClientAccount[name=" + this.name + ", credentials=" + this.credentials.size() + ", priority="
				+ this.priority + ", limit=" + this.limit + ", homeRegions=" + this.homeRegions + "]";
	}

}
