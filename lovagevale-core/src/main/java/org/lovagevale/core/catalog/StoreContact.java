package org.lovagevale.core.catalog;

/**
 * A period in which the store is known to have answered without an outage.
 *
 * <p>
 * It is evidence about the store, not about the process that observed it: a process that
 * was cut off adopts the period that another one observed, and thereby learns that the
 * store was well meanwhile. Times are those of the monotonic clock of this process, in
 * milliseconds. The start of a period is the latest time at which the store can have come
 * back, and its end the earliest time at which it can have answered last, so the start of
 * a single read, or of a state that may have waited on its way, is after its end.
 * Immutable and thread-safe.
 *
 * @param era the era of the store, see {@link CatalogRevision}
 * @param since the start of the period
 * @param until the end of the period
 */
public record StoreContact(long era, long since, long until) {

	/**
	 * Returns the contact that a read of the store proves.
	 * @param asOf the revision of the state that was read
	 * @param startedAt the start of the read
	 * @param finishedAt the end of the read
	 * @return the contact
	 */
	public static StoreContact ofRead(long asOf, long startedAt, long finishedAt) {
		return new StoreContact(CatalogRevision.era(asOf), finishedAt, startedAt);
	}

	/**
	 * Combines two observations. Periods without an outage between them become one, else
	 * the later one counts. An observation of a later era replaces one of an earlier era.
	 * @param other the other observation
	 * @return the last period that both observations prove
	 */
	public StoreContact join(StoreContact other) {
		if (this.era != other.era) {
			return (this.era > other.era) ? this : other;
		}
		boolean outage = this.since - other.until > Catalog.OUTAGE_THRESHOLD_MS
				|| other.since - this.until > Catalog.OUTAGE_THRESHOLD_MS;
		if (outage) {
			return (this.since > other.since) ? this : other;
		}
		return new StoreContact(this.era, Math.min(this.since, other.since), Math.max(this.until, other.until));
	}

	/**
	 * Returns this contact without what it says of a later time.
	 * @param time the monotonic time in milliseconds
	 * @return the contact, which ends at that time at the latest
	 */
	public StoreContact endingBy(long time) {
		return (time < this.until) ? new StoreContact(this.era, this.since, time) : this;
	}

	/**
	 * Returns the time from which a server without an entry has left: live servers are
	 * registered again by then.
	 * @return the monotonic time in milliseconds
	 */
	public long settledAt() {
		return this.since + Catalog.REREGISTRATION_MS;
	}

	/**
	 * Tells whether live servers are registered again in a state from the end of this
	 * period.
	 * @return {@code true} if they are
	 */
	public boolean isSettled() {
		return this.until >= settledAt();
	}

}
