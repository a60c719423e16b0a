package org.lovagevale.core.catalog;

import java.util.List;

/**
 * The difference between two states of a {@link Catalog}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param changed the items that were added or whose decoded content changed
 * @param removed the keys of the items that were removed
 */
public record CatalogChange(List<PublishedItem> changed, List<String> removed) {

	/** No difference. */
	public static final CatalogChange NONE = new CatalogChange(List.of(), List.of());

	/**
	 * Copies the lists.
	 */
	public CatalogChange {
		changed = List.copyOf(changed);
		removed = List.copyOf(removed);
	}

	/**
	 * Tells whether this change is empty.
	 * @return {@code true} if nothing was changed or removed
	 */
	public boolean isEmpty() {
		return this.changed.isEmpty() && this.removed.isEmpty();
	}

}
