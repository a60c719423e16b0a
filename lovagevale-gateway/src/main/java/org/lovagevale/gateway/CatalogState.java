package org.lovagevale.gateway;

import java.util.List;

import org.lovagevale.core.catalog.PublishedItem;

/**
 * A consistent snapshot of all items that the platform publishes.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param items the published items
 * @param asOf the revision of the snapshot
 */
public record CatalogState(List<PublishedItem> items, long asOf) {

	/**
	 * Creates a snapshot with a copy of the items.
	 */
	public CatalogState {
		items = List.copyOf(items);
	}

}
