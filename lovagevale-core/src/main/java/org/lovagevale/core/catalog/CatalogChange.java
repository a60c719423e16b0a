package org.lovagevale.core.catalog;

import java.util.List;

/**
 * The difference between two states of a {@link Catalog}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param changed the items that are new or whose meaning changed
 * @param removed the keys of items that are gone
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
	 * Tells whether there is no difference.
	 * @return {@code true} if there is none
	 */
	public boolean isEmpty() {
		return this.changed.isEmpty() && this.removed.isEmpty();
	}

}
