package org.lovagevale.core.catalog;

/**
 * A server whose item was removed.
 *
 * <p>
 * Not thread-safe, as its order.
 *
 * @param order the order of its reports
 * @param removedIn the revision of the state in which the item is missing
 * @param removedAt the monotonic time of that state in milliseconds
 */
record DepartedServer(ReportOrder order, long removedIn, long removedAt) {

	/**
	 * Returns whether an item of this server was published before it left.
	 * @param itemRevision the revision of the item
	 * @return {@code true} if it was
	 */
	boolean isAfter(long itemRevision) {
		return itemRevision <= this.removedIn;
	}

	/**
	 * Returns whether an item of this server may come from a copy of the store that was
	 * made before it left.
	 * @param itemRevision the revision of the item
	 * @return {@code true} if the store was restored since the server left
	 */
	boolean mayBeRestoredBy(long itemRevision) {
		return CatalogRevision.era(itemRevision) > CatalogRevision.era(this.removedIn);
	}

}
