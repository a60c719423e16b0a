package org.lovagevale.core.catalog;

/**
 * Decodes published items.
 *
 * <p>
 * Implementations never fail: an item that cannot be decoded results in
 * {@link CatalogItem.Unusable}.
 */
@FunctionalInterface
public interface CatalogDecoder {

	/**
	 * Decodes an item.
	 * @param item the item
	 * @return the decoded item
	 */
	CatalogItem decode(PublishedItem item);

}
