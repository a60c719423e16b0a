package org.lovagevale.gateway;

import java.util.List;

import org.lovagevale.core.catalog.PublishedItem;

/**
 * Everything that the platform publishes, as it was read at once.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param items the items
 * @param asOf the revision of the state
 */
public record CatalogState(List<PublishedItem> items, long asOf) {

	/**
	 * Copies the items.
	 */
	public CatalogState {
		items = List.copyOf(items);
	}

}
