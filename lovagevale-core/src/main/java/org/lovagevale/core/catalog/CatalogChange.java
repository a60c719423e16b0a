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
 * @param missing the keys of the items that the store lacks since this change, but that
 * are used until it is known that they are gone
 */
public record CatalogChange(List<PublishedItem> changed, List<String> removed, List<String> missing) {

	/** No difference. */
	public static final CatalogChange NONE = new CatalogChange(List.of(), List.of());

	/**
	 * Copies the lists.
	 */
	public CatalogChange {
		changed = List.copyOf(changed);
		removed = List.copyOf(removed);
		missing = List.copyOf(missing);
	}

	/**
	 * Creates a change after which no more items are missing than before.
	 * @param changed the items that were added or whose decoded content changed
	 * @param removed the keys of the items that were removed
	 */
	public CatalogChange(List<PublishedItem> changed, List<String> removed) {
		this(changed, removed, List.of());
	}

	/**
	 * Tells whether this change is empty.
	 * @return {@code true} if nothing was changed or removed or became missing
	 */
	public boolean isEmpty() {
		return this.changed.isEmpty() && this.removed.isEmpty() && this.missing.isEmpty();
	}

}
