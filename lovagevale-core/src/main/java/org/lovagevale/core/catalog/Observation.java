package org.lovagevale.core.catalog;

/**
 * What is known of the origin of a state of the store.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param asOf the revision of the state
 * @param observedAt the monotonic time at which it was current, in milliseconds
 * @param contact the contact with the store that it proves
 * @param timed whether these times are known; if not, the state may have waited on its
 * way, and is only known to be as recent as the one before it
 */
public record Observation(long asOf, long observedAt, StoreContact contact, boolean timed) {

	/**
	 * Returns the observation of a process that reads the store.
	 * @param asOf the revision of the state
	 * @param startedAt the start of the read
	 * @param finishedAt the end of the read
	 * @return the observation
	 */
	public static Observation ofRead(long asOf, long startedAt, long finishedAt) {
		return new Observation(asOf, startedAt, StoreContact.ofRead(asOf, startedAt, finishedAt), true);
	}

}
