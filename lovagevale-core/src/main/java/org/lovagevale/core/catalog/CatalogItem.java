package org.lovagevale.core.catalog;

import org.lovagevale.base.FailureDomain;

/**
 * The decoded form of a published item.
 *
 * <p>
 * Immutable and thread-safe.
 */
public sealed interface CatalogItem {

	/**
	 * A version of the serving configuration.
	 *
	 * @param configuration the configuration
	 */
	record PublishedConfiguration(ServingConfiguration configuration) implements CatalogItem {
	}

	/**
	 * A registered backend server.
	 *
	 * @param instance the run of the server
	 * @param reportNumber a counter that the server increases with each report of one run
	 */
	record ListedServer(BackendInstance instance, long reportNumber) implements CatalogItem {

		/**
		 * Tells whether this report was made before another one.
		 * @param other the other report of a server with the same identity
		 * @return {@code true} if it is older
		 */
		boolean isOlderThan(ListedServer other) {
			long start = this.instance.startedAtEpochMs();
			long otherStart = other.instance.startedAtEpochMs();
			return start < otherStart || start == otherStart && this.reportNumber < other.reportNumber;
		}

	}

	/**
	 * A failure domain whose servers get no requests.
	 *
	 * @param domain the failure domain
	 */
	record EvacuatedDomain(FailureDomain domain) implements CatalogItem {
	}

	/**
	 * An item that cannot be used.
	 *
	 * @param reason the reason why it cannot be used
	 */
	record Unusable(String reason) implements CatalogItem {
	}

}
