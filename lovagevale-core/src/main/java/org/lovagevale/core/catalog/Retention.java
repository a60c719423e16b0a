package org.lovagevale.core.catalog;

/**
 * How long an item that the store lacks is used.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param missingIn the revision of the first known state without the item
 * @param until the monotonic time at which it is removed, in milliseconds
 */
record Retention(long missingIn, long until) {

	Retention endingBy(long time) {
		return (time < this.until) ? new Retention(this.missingIn, time) : this;
	}

}
