package org.lovagevale.core.catalog;

/**
 * Turns published items into their meaning.
 *
 * <p>
 * Implementations never fail: an item that cannot be read is
 * {@link CatalogItem.Unusable}.
 */
@FunctionalInterface
public interface CatalogDecoder {

	/**
	 * Decodes an item.
	 * @param item the item
	 * @return its meaning
	 */
	CatalogItem decode(PublishedItem item);

}
