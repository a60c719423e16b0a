package org.lovagevale.core.catalog;

/**
 * Revisions of the published state that are ordered across restores of the store.
 *
 * <p>
 * A store that is restored from a copy gives out lower revisions again. It counts its
 * restores in an era, so a revision is combined with the era: revisions of a later era
 * are greater than all of an earlier one. Era 0 leaves them unchanged. Of the era only
 * the last {@link #ERA_BITS} bits count, since it may begin with any number. Stateless
 * and thread-safe.
 */
public final class CatalogRevision {

	private static final int REVISION_BITS = 44;

	/** Number of bits of an era that are compared. */
	public static final int ERA_BITS = Long.SIZE - 1 - REVISION_BITS;

	/** Greatest revision within an era. */
	public static final long MAX_REVISION = (1L << REVISION_BITS) - 1;

	private static final long ERA_MASK = (1L << ERA_BITS) - 1;

	private CatalogRevision() {
	}

	/**
	 * Combines an era and a revision of the store.
	 * @param era the era that the store states
	 * @param revision the revision that the store states
	 * @return the combined revision
	 * @throws IllegalArgumentException if one of them is negative, or the revision too
	 * large
	 */
	public static long of(long era, long revision) {
		if (era < 0) {
			throw new IllegalArgumentException("era " + era + ", expected 0 or more");
		}
		if (revision < 0 || revision > MAX_REVISION) {
			throw new IllegalArgumentException("revision " + revision + ", expected 0 to " + MAX_REVISION);
		}
		return ((era & ERA_MASK) << REVISION_BITS) | revision;
	}

	/**
	 * Returns the era of a combined revision.
	 * @param combined the combined revision
	 * @return the last {@link #ERA_BITS} bits of the era
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
