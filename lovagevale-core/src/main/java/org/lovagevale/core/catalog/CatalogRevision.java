package org.lovagevale.core.catalog;

/**
 * Revisions of the published state that are ordered across restores of the store.
 *
 * <p>
 * A store that is restored from a copy gives out lower revisions again. It counts its
 * restores in an era, so a revision is combined with the era: revisions of a later era
 * are greater than all of an earlier one. Era 0 leaves them unchanged. Stateless and
 * thread-safe.
 */
public final class CatalogRevision {

	private static final int REVISION_BITS = 44;

	/** Greatest revision within an era. */
	public static final long MAX_REVISION = (1L << REVISION_BITS) - 1;

	/** Greatest era. */
	public static final long MAX_ERA = Long.MAX_VALUE >> REVISION_BITS;

	private CatalogRevision() {
	}

	/**
	 * Combines an era and a revision of the store.
	 * @param era the number of restores
	 * @param revision the revision that the store states
	 * @return the combined revision
	 * @throws IllegalArgumentException if one of them is negative or too large
	 */
	public static long of(long era, long revision) {
		if (era < 0 || era > MAX_ERA) {
			throw new IllegalArgumentException("era " + era + ", expected 0 to " + MAX_ERA);
		}
		if (revision < 0 || revision > MAX_REVISION) {
			throw new IllegalArgumentException("revision " + revision + ", expected 0 to " + MAX_REVISION);
		}
		return (era << REVISION_BITS) | revision;
	}

	/**
	 * Returns the era of a combined revision.
	 * @param combined the combined revision
	 * @return the era
	 */
	public static long era(long combined) {
		return combined >> REVISION_BITS;
	}

	/**
	 * Returns the revision that the store stated.
	 * @param combined the combined revision
	 * @return the revision within its era
	 */
	public static long withinEra(long combined) {
		return combined & MAX_REVISION;
	}

}
