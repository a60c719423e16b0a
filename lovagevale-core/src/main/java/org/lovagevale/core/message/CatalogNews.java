package org.lovagevale.core.message;

import java.util.List;

import org.lovagevale.core.catalog.PublishedItem;

/**
 * Passes on what was read from the platform.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param complete whether {@code items} are all items, not only the changed ones
 * @param baseRevision the revision that the change starts from
 * @param asOf the revision that it leads to
 * @param ageMs how long ago that was the newest, in milliseconds
 * @param items the items
 * @param removed the keys of removed items
 */
public record CatalogNews(boolean complete, long baseRevision, long asOf, long ageMs, List<PublishedItem> items,
		List<String> removed) implements RegionMessage {
}
