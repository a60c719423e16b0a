package org.lovagevale.core.message;

import java.util.List;

import org.lovagevale.core.catalog.PublishedItem;

/**
 * Forwards catalog items that were read from the platform.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param complete whether {@code items} contains all items, not only the changed ones
 * @param baseRevision the revision to which the change applies
 * @param asOf the revision after the change
 * @param ageMs the time since that revision was known to be the newest, in milliseconds
 * @param items the items
 * @param removed the keys of removed items
 */
public record CatalogNews(boolean complete, long baseRevision, long asOf, long ageMs, List<PublishedItem> items,
		List<String> removed) implements RegionMessage {
}
