package org.lovagevale.core.message;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.catalog.Catalog;
import org.lovagevale.core.catalog.CatalogChange;
import org.lovagevale.core.catalog.CatalogRevision;
import org.lovagevale.core.catalog.Observation;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.catalog.RetainedItem;
import org.lovagevale.core.catalog.StoreContact;

/**
 * Forwards catalog items that were read from the platform.
 *
 * <p>
 * Items that the sender retains although the store lacks them are not among the
 * {@code items}, so that they do not pass for published ones. A process of an older
 * version sends neither them nor the time of contact. Immutable and thread-safe.
 *
 * @param complete whether {@code items} contains all items, not only the changed ones
 * @param baseRevision the revision to which the change applies
 * @param asOf the revision after the change
 * @param ageMs the time since that revision was known to be the newest, in milliseconds
 * @param items the items
 * @param removed the keys of removed items
 * @param contactMs the time since the begin of the last known contact with the store, in
 * milliseconds
 * @param contactAgeMs the time since the state was certainly current, in milliseconds;
 * more than {@code ageMs} if it may have waited on its way to the sender
 * @param missing the keys of the items that the store lacks since the change but that are
 * retained
 * @param retained the retained items, if the news are complete
 * @param sentAtMs the monotonic time of the sender, in milliseconds; 0 if not stated
 */
public record CatalogNews(boolean complete, long baseRevision, long asOf, long ageMs, List<PublishedItem> items,
		List<String> removed, long contactMs, long contactAgeMs, List<String> missing, List<RetainedItem> retained,
		long sentAtMs) implements RegionMessage {

	/** Longest time of contact that is stated, in milliseconds. */
	private static final long MAX_CONTACT_MS = 86_400_000;

	/**
	 * Checks the times.
	 * @throws IllegalArgumentException if one of them is negative
	 */
	public CatalogNews {
		if (ageMs < 0 || contactMs < 0 || contactAgeMs < 0) {
			throw new IllegalArgumentException("ageMs is " + ageMs + ", contactMs " + contactMs + " and contactAgeMs "
					+ contactAgeMs + ", expected 0 or more");
		}
	}

	/**
	 * Creates news without retained items.
	 * @param complete whether {@code items} contains all items, not only the changed ones
	 * @param baseRevision the revision to which the change applies
	 * @param asOf the revision after the change
	 * @param ageMs the time since that revision was known to be the newest, in
	 * milliseconds
	 * @param items the items
	 * @param removed the keys of removed items
	 */
	public CatalogNews(boolean complete, long baseRevision, long asOf, long ageMs, List<PublishedItem> items,
			List<String> removed) {
		this(complete, baseRevision, asOf, ageMs, items, removed, 0, ageMs, List.of(), List.of(), 0);
	}

	/**
	 * Creates news with the whole state of a catalog.
	 * @param catalog the catalog
	 * @param now the monotonic time in milliseconds
	 * @return the news
	 */
	public static CatalogNews ofState(Catalog catalog, long now) {
		return new CatalogNews(true, 0, catalog.revision(), catalog.ageMs(now), List.copyOf(catalog.items()), List.of(),
				contactMs(catalog, now), catalog.provenAgeMs(now), List.of(), catalog.retained(now), now);
	}

	/**
	 * Creates news with the last change of a catalog.
	 * @param catalog the catalog after the change
	 * @param baseRevision the revision before the change
	 * @param change the change, {@link CatalogChange#NONE} to confirm the state only
	 * @param now the monotonic time in milliseconds
	 * @return the news
	 */
	public static CatalogNews ofChange(Catalog catalog, long baseRevision, CatalogChange change, long now) {
		return new CatalogNews(false, baseRevision, catalog.revision(), catalog.ageMs(now), change.changed(),
				change.removed(), contactMs(catalog, now), catalog.provenAgeMs(now), change.missing(), List.of(), now);
	}

	/**
	 * Creates the news that another process forwards.
	 * @param catalog the catalog of that process, to which these news were applied
	 * @param now the monotonic time in milliseconds
	 * @return the news with the age and the contact that this process knows
	 */
	public CatalogNews forwardedBy(Catalog catalog, long now) {
		return new CatalogNews(this.complete, this.baseRevision, this.asOf, catalog.ageMs(now), this.items,
				this.removed, contactMs(catalog, now), catalog.provenAgeMs(now), this.missing, this.retained, now);
	}

	private static long contactMs(Catalog catalog, long now) {
		return Math.min(catalog.contactMs(now), MAX_CONTACT_MS);
	}

	/**
	 * Applies the news to a catalog.
	 * @param catalog the catalog
	 * @param sentAt the monotonic time of this process at which the news were sent, in
	 * milliseconds; that of their arrival if it is not known
	 * @param delayKnown whether that time is known; if not, the news do not prove that
	 * the contact lasted longer than known before
	 * @return the resulting difference, or {@code null} if the change cannot be applied
	 * and the whole state is needed
	 */
	public @Nullable CatalogChange applyTo(Catalog catalog, long sentAt, boolean delayKnown) {
		StoreContact contact = new StoreContact(CatalogRevision.era(this.asOf),
				sentAt - Math.min(this.contactMs, MAX_CONTACT_MS), sentAt - Math.max(this.ageMs, this.contactAgeMs));
		Observation observation = new Observation(this.asOf, sentAt - this.ageMs, contact, delayKnown);
		if (this.complete) {
			return catalog.replace(this.items, this.retained, observation, sentAt);
		}
		return catalog.applyChange(this.baseRevision, new CatalogChange(this.items, this.removed, this.missing),
				observation);
	}

	/**
	 * Tells whether the sender retains items because it does not know whether the store
	 * was away.
	 * @return {@code true} if it names such items
	 */
	public boolean isUncertain() {
		return !this.missing.isEmpty() || !this.retained.isEmpty();
	}

}
