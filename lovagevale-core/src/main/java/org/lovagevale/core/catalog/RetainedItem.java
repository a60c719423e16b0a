package org.lovagevale.core.catalog;

import java.util.Objects;

/**
 * An item that is used although the newest state of the store lacks it, as sent to other
 * processes.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param item the item
 * @param remainingMs the time until it is removed, in milliseconds
 */
public record RetainedItem(PublishedItem item, long remainingMs) {

	/**
	 * Checks the components.
	 * @throws IllegalArgumentException if the time is negative
	 */
	public RetainedItem {
		Objects.requireNonNull(item, "item");
		if (remainingMs < 0) {
			throw new IllegalArgumentException("remainingMs is " + remainingMs + ", expected 0 or more");
		}
	}

}
