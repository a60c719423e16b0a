package org.lovagevale.core.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ServerName;

/**
 * The published items as known to this process.
 *
 * <p>
 * A server that the newest state lacks may have left, or its entry may have expired in an
 * outage of the store, after which live servers register again. The age of the own state
 * cannot tell these apart, since this process may have been cut off while the store was
 * well. The period of contact that some process of the fleet had with the store can, see
 * {@link StoreContact}: once the store has been back for {@link #REREGISTRATION_MS}, a
 * missing server is gone. Until then it is retained, at most up to a deadline of its own.
 *
 * <p>
 * Invariants: neither the revision nor the version of the configuration ever decreases;
 * revisions are those of {@link CatalogRevision}. Items are retained only after an outage
 * or a restore of the store, or as retained by another process: servers until their
 * deadline, and an evacuation that is missing after a restore for
 * {@link #REPUBLICATION_MS}. An item that was published before its key was found missing
 * is not listed again. A server that had left is not listed again because of a report in
 * a restored copy. Not thread-safe.
 */
public final class Catalog {

	/** Time within which live servers register again after an outage, in milliseconds. */
	public static final long REREGISTRATION_MS = 2_200;

	/**
	 * Time without confirmation of the state above which an outage is assumed, in
	 * milliseconds. It is shorter than the three missed heartbeats after which servers
	 * are unregistered.
	 */
	public static final long OUTAGE_THRESHOLD_MS = 3_000;

	/**
	 * Time within which the operator publishes again what a restored store has lost, in
	 * milliseconds.
	 */
	public static final long REPUBLICATION_MS = 5_000;

	/**
	 * Time for which servers that have left are remembered, in milliseconds. The copy
	 * from which a store is restored is younger.
	 */
	private static final long DEPARTED_MEMORY_MS = 60_000;

	private final CatalogDecoder decoder;

	private final Map<String, PublishedItem> items = new HashMap<>();

	private final Map<String, CatalogItem> decodedItems = new HashMap<>();

	/** Kept beside unusable entries, which have no order. */
	private final Map<String, ReportOrder> reportOrders = new HashMap<>();

	private final Map<String, DepartedServer> departed = new HashMap<>();

	private @Nullable ServingConfiguration configuration;

	/** The item of the configuration in force. */
	private @Nullable PublishedItem configurationItem;

	private long revision;

	private long confirmedAt = Long.MIN_VALUE;

	/** Last time at which the state was certainly current. */
	private long provenAt = Long.MIN_VALUE;

	/** The last known period of contact of any process with the store. */
	private @Nullable StoreContact contact;

	/** Items that the newest state lacks, by key. */
	private final Map<String, Retention> retentions = new HashMap<>();

	private long retainServersUntil = Long.MIN_VALUE;

	private long retainEvacuationsUntil = Long.MIN_VALUE;

	/**
	 * Creates an empty catalog.
	 * @param decoder decodes the published items
	 */
	public Catalog(CatalogDecoder decoder) {
		this.decoder = decoder;
	}

	/**
	 * Returns the newest configuration.
	 * @return the configuration, or {@code null} if none was published yet
	 */
	public @Nullable ServingConfiguration configuration() {
		return this.configuration;
	}

	/**
	 * Tells whether the configuration may be missing because the published one is
	 * unusable.
	 * @return {@code true} if there is no configuration but an unusable item
	 */
	public boolean mayLackConfiguration() {
		return this.configuration == null
				&& this.decodedItems.values().stream().anyMatch(CatalogItem.Unusable.class::isInstance);
	}

	/**
	 * Returns the revision of the published state that this catalog reflects.
	 * @return the revision, 0 before the first state
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the age of this state.
	 * @param now the monotonic time in milliseconds
	 * @return the milliseconds since the state was last known to be current,
	 * {@link Long#MAX_VALUE} if there is none
	 */
	public long ageMs(long now) {
		return (this.confirmedAt == Long.MIN_VALUE) ? Long.MAX_VALUE : Math.max(0, now - this.confirmedAt);
	}

	/**
	 * Returns the time for which the store is known to have answered.
	 * @param now the monotonic time in milliseconds
	 * @return the milliseconds since the begin of the last known contact, 0 if there is
	 * none
	 */
	public long contactMs(long now) {
		StoreContact known = contact();
		return (known != null) ? Math.max(0, now - known.since()) : 0;
	}

	/**
	 * Returns the time since this state was certainly current.
	 * @param now the monotonic time in milliseconds
	 * @return the milliseconds, more than the age if the state may have waited on its way
	 * here; {@link Long#MAX_VALUE} if there is none
	 */
	public long provenAgeMs(long now) {
		return (this.provenAt == Long.MIN_VALUE) ? Long.MAX_VALUE : Math.max(0, now - this.provenAt);
	}

	/**
	 * Returns the registered backend servers.
	 * @return the servers by identity
	 */
	public Map<ServerName, BackendInstance> servers() {
		Map<ServerName, BackendInstance> servers = new HashMap<>();
		for (CatalogItem decoded : this.decodedItems.values()) {
			if (decoded instanceof CatalogItem.ListedServer listed) {
				servers.put(listed.instance().id(), listed.instance());
			}
		}
		return servers;
	}

	/**
	 * Returns the evacuated failure domains.
	 * @return the failure domains
	 */
	public Set<FailureDomain> evacuated() {
		Set<FailureDomain> domains = new HashSet<>();
		for (CatalogItem decoded : this.decodedItems.values()) {
			if (decoded instanceof CatalogItem.EvacuatedDomain evacuated) {
				domains.add(evacuated.domain());
			}
		}
		return domains;
	}

	/**
	 * Returns all items of the newest state, in encoded form. If the published
	 * configuration is unusable, the one in force precedes it, so that a process which
	 * starts meanwhile can use it.
	 * @return the items without the retained ones
	 */
	public Collection<PublishedItem> items() {
		List<PublishedItem> all = new ArrayList<>();
		PublishedItem inForce = this.configurationItem;
		if (inForce != null && this.decodedItems.get(inForce.key()) instanceof CatalogItem.Unusable) {
			all.add(inForce);
		}
		this.items.forEach((key, item) -> {
			if (!this.retentions.containsKey(key)) {
				all.add(item);
			}
		});
		return all;
	}

	/**
	 * Returns the items that the newest state lacks.
	 * @param now the monotonic time in milliseconds
	 * @return the items with the time for which they are still used
	 */
	public List<RetainedItem> retained(long now) {
		List<RetainedItem> retained = new ArrayList<>();
		this.retentions.forEach((key, retention) -> {
			PublishedItem item = this.items.get(key);
			if (item != null) {
				retained.add(new RetainedItem(item, Math.max(0, retention.until() - now)));
			}
		});
		return retained;
	}

	/**
	 * Tells whether there are items that the newest state lacks.
	 * @return {@code true} if there are any
	 */
	public boolean isRetaining() {
		return !this.retentions.isEmpty();
	}

	/**
	 * Returns the last known period of contact with the store.
	 * @return the period, or {@code null} before the first state
	 */
	public @Nullable StoreContact contact() {
		return this.contact;
	}

	/**
	 * Replaces the state by a complete one that was read in no time.
	 * @param state all items
	 * @param asOf the revision of the state
	 * @param observedAt the monotonic time at which it was current, in milliseconds
	 * @return the resulting difference; none if the state is older than the known one
	 */
	public CatalogChange replace(List<PublishedItem> state, long asOf, long observedAt) {
		return replace(state, Observation.ofRead(asOf, observedAt, observedAt));
	}

	/**
	 * Replaces the state by a complete one that this process has read.
	 * @param state all items that the store has
	 * @param observation the origin of the state
	 * @return the resulting difference; none if the state is older than the known one
	 */
	public CatalogChange replace(List<PublishedItem> state, Observation observation) {
		return replace(state, List.of(), observation, observation.observedAt());
	}

	/**
	 * Replaces the state by a complete one that another process has sent.
	 * @param state all items that the store has
	 * @param retained the items that the sender of the state retains
	 * @param observation the origin of the state
	 * @param sentAt the monotonic time at which it was sent, in milliseconds
	 * @return the resulting difference; none if the state is older than the known one
	 */
	public CatalogChange replace(List<PublishedItem> state, List<RetainedItem> retained, Observation observation,
			long sentAt) {
		StoreContact joined = recordContact(observation);
		if (observation.asOf() < this.revision) {
			return CatalogChange.NONE;
		}
		boolean outage = detectOutage(joined, observation);
		detectRestore(joined, observation);
		Set<String> missing = new HashSet<>(this.items.keySet());
		state.forEach((item) -> missing.remove(item.key()));
		recordTime(observation);
		Difference difference = new Difference(observation.asOf());
		state.forEach(difference::update);
		for (RetainedItem offered : retained) {
			difference.retain(offered, joined, sentAt);
			missing.remove(offered.item().key());
		}
		for (String key : missing) {
			Retention known = this.retentions.get(key);
			// A further outage moves the deadline.
			difference.miss(key, (known != null && !outage) ? known.until() : retentionEnd(key));
		}
		difference.removeIfSettled(observation.contact());
		return difference.complete();
	}

	/**
	 * Applies a difference between two states.
	 * @param base the revision that the difference is based on
	 * @param change the difference
	 * @param observation the origin of the state that it leads to
	 * @return the difference as applied, or {@code null} if this catalog is older than
	 * the base, or knows of items that were missing after the base but may be back
	 */
	public @Nullable CatalogChange applyChange(long base, CatalogChange change, Observation observation) {
		StoreContact joined = recordContact(observation);
		if (observation.asOf() < this.revision) {
			return CatalogChange.NONE;
		}
		if (base > this.revision || observation.asOf() > this.revision && leavesOpen(base, change)) {
			return null;
		}
		detectOutage(joined, observation);
		detectRestore(joined, observation);
		recordTime(observation);
		Difference difference = new Difference(observation.asOf());
		change.changed().forEach(difference::update);
		change.removed().forEach(difference::remove);
		change.missing().forEach((key) -> difference.miss(key, isServer(key) ? joined.settledAt() : retentionEnd(key)));
		difference.removeIfSettled(observation.contact());
		return difference.complete();
	}

	// Of an item that was missing between the base and the new state for a moment, the
	// sender of the change may not know, so the change does not name it.
	private boolean leavesOpen(long base, CatalogChange change) {
		Set<String> open = new HashSet<>();
		this.retentions.forEach((key, retention) -> {
			if (retention.missingIn() > base) {
				open.add(key);
			}
		});
		this.departed.forEach((key, left) -> {
			if (left.removedIn() > base) {
				open.add(key);
			}
		});
		change.changed().forEach((item) -> open.remove(item.key()));
		change.removed().forEach(open::remove);
		change.missing().forEach(open::remove);
		return !open.isEmpty();
	}

	/**
	 * Removes the retained items whose deadline has passed. While other processes are
	 * heard, but none of them has a newer state, the store is away once more; an item
	 * then stays until a state is known that was current after its deadline.
	 * @param now the monotonic time in milliseconds
	 * @param isolated whether no other process is heard and the store does not answer
	 * @return the resulting difference
	 */
	public CatalogChange removeExpired(long now, boolean isolated) {
		if (this.retentions.isEmpty()) {
			return CatalogChange.NONE;
		}
		Difference difference = new Difference(this.revision);
		for (Map.Entry<String, Retention> entry : List.copyOf(this.retentions.entrySet())) {
			long until = entry.getValue().until();
			if (until <= (isolated ? now : Math.min(now, this.provenAt))) {
				difference.remove(entry.getKey());
			}
		}
		return difference.complete();
	}

	private StoreContact recordContact(Observation observation) {
		StoreContact known = this.contact;
		StoreContact observed = observation.contact();
		if (known != null) {
			observed = known.join(observation.timed() ? observed : observed.endingBy(this.provenAt));
		}
		StoreContact joined = observed;
		this.contact = joined;
		this.retainServersUntil = Math.min(this.retainServersUntil, joined.settledAt());
		this.retentions
			.replaceAll((key, retention) -> isServer(key) ? retention.endingBy(joined.settledAt()) : retention);
		return joined;
	}

	private void recordTime(Observation observation) {
		this.confirmedAt = Math.max(this.confirmedAt, observation.observedAt());
		if (observation.timed() || this.provenAt == Long.MIN_VALUE) {
			this.provenAt = Math.max(this.provenAt, observation.contact().until());
		}
	}

	private boolean detectOutage(StoreContact joined, Observation observation) {
		if (this.provenAt == Long.MIN_VALUE || observation.contact().until() - this.provenAt <= OUTAGE_THRESHOLD_MS) {
			return false;
		}
		this.retainServersUntil = joined.settledAt();
		return true;
	}

	private void detectRestore(StoreContact joined, Observation observation) {
		if (this.revision != 0 && CatalogRevision.era(observation.asOf()) > CatalogRevision.era(this.revision)) {
			this.retainServersUntil = Math.max(this.retainServersUntil, joined.settledAt());
			this.retainEvacuationsUntil = joined.since() + REPUBLICATION_MS;
		}
	}

	private long retentionEnd(String key) {
		return switch (this.decodedItems.get(key)) {
			case CatalogItem.ListedServer server -> this.retainServersUntil;
			case CatalogItem.EvacuatedDomain domain -> this.retainEvacuationsUntil;
			case null, default -> Long.MIN_VALUE;
		};
	}

	private boolean update(PublishedItem item) {
		PublishedItem present = this.items.get(item.key());
		if (present != null && item.revision() <= present.revision()) {
			return adoptFormer(item);
		}
		Retention retention = this.retentions.get(item.key());
		if (retention != null && item.revision() <= retention.missingIn()) {
			return false;
		}
		DepartedServer left = this.departed.get(item.key());
		if (present == null && left != null && left.isAfter(item.revision())) {
			return false;
		}
		this.retentions.remove(item.key());
		// Passed on even if it is unchanged, since other processes retain it as well.
		return decode(item) || retention != null;
	}

	private boolean decode(PublishedItem item) {
		CatalogItem decoded = this.decoder.decode(item);
		this.items.put(item.key(), item);
		CatalogItem previous = this.decodedItems.get(item.key());
		if (decoded instanceof CatalogItem.ListedServer listed) {
			if (!isAccepted(item, listed)) {
				// Passed on, so that the next report is decided in the same way there.
				return true;
			}
			if (previous instanceof CatalogItem.ListedServer known) {
				this.decodedItems.put(item.key(), decoded);
				return !listed.instance().equals(known.instance());
			}
		}
		this.decodedItems.put(item.key(), decoded);
		if (decoded instanceof CatalogItem.PublishedConfiguration configured) {
			return adopt(item, configured.configuration());
		}
		return !Objects.equals(previous, decoded);
	}

	private boolean isServer(String key) {
		return this.decodedItems.get(key) instanceof CatalogItem.ListedServer;
	}

	private boolean isAccepted(PublishedItem item, CatalogItem.ListedServer report) {
		ReportOrder order = this.reportOrders.get(item.key());
		if (order != null) {
			return order.accept(report);
		}
		DepartedServer left = this.departed.remove(item.key());
		if (left != null && left.mayBeRestoredBy(item.revision())) {
			this.reportOrders.put(item.key(), left.order());
			return left.order().acceptAfterRestore(report);
		}
		this.reportOrders.put(item.key(), new ReportOrder(report));
		return true;
	}

	// A process that knows only an unusable configuration takes the former one that
	// another process has in force.
	private boolean adoptFormer(PublishedItem item) {
		boolean unusable = this.decodedItems.get(item.key()) instanceof CatalogItem.Unusable;
		return this.configuration == null && unusable
				&& this.decoder.decode(item) instanceof CatalogItem.PublishedConfiguration former
				&& adopt(item, former.configuration());
	}

	private boolean adopt(PublishedItem item, ServingConfiguration next) {
		ServingConfiguration known = this.configuration;
		if (known != null && next.version() <= known.version()) {
			return false;
		}
		this.configuration = next;
		this.configurationItem = item;
		return true;
	}

	/**
	 * Collects the changes that lead to a state.
	 */
	private final class Difference {

		private final long asOf;

		private final List<PublishedItem> changed = new ArrayList<>();

		private final List<String> removed = new ArrayList<>();

		private final List<String> missing = new ArrayList<>();

		private Difference(long asOf) {
			this.asOf = asOf;
		}

		private void update(PublishedItem item) {
			if (Catalog.this.update(item)) {
				this.changed.add(item);
			}
		}

		private void remove(String key) {
			Retention retention = Catalog.this.retentions.remove(key);
			if (Catalog.this.items.remove(key) != null) {
				Catalog.this.decodedItems.remove(key);
				ReportOrder order = Catalog.this.reportOrders.remove(key);
				if (order != null) {
					long missingIn = (retention != null) ? retention.missingIn() : this.asOf;
					Catalog.this.departed.put(key, new DepartedServer(order, missingIn, Catalog.this.confirmedAt));
				}
				this.removed.add(key);
			}
		}

		// The store lacks the item, which is used until the given time.
		private void miss(String key, long until) {
			if (!Catalog.this.items.containsKey(key)) {
				return;
			}
			if (until <= Catalog.this.provenAt) {
				remove(key);
				return;
			}
			Retention known = Catalog.this.retentions.get(key);
			if (known == null || known.until() != until) {
				Catalog.this.retentions.put(key, new Retention(this.asOf, until));
				this.missing.add(key);
			}
		}

		// Another process retains the item. One that is known to have left is not used
		// again.
		private void retain(RetainedItem offered, StoreContact joined, long sentAt) {
			PublishedItem item = offered.item();
			CatalogItem decoded = Catalog.this.decoder.decode(item);
			long end = sentAt + offered.remainingMs();
			if (decoded instanceof CatalogItem.ListedServer) {
				end = Math.min(end, joined.settledAt());
			}
			else if (!(decoded instanceof CatalogItem.EvacuatedDomain)) {
				return;
			}
			if (end > Catalog.this.provenAt && !Catalog.this.items.containsKey(item.key())) {
				update(item);
			}
			miss(item.key(), end);
		}

		// The state was read when live servers were registered again, however long it
		// waited on its way.
		private void removeIfSettled(StoreContact observed) {
			if (observed.isSettled()) {
				List.copyOf(Catalog.this.retentions.keySet())
					.stream()
					.filter(Catalog.this::isServer)
					.forEach(this::remove);
			}
		}

		private CatalogChange complete() {
			Catalog catalog = Catalog.this;
			catalog.departed.values().removeIf((left) -> catalog.confirmedAt - left.removedAt() > DEPARTED_MEMORY_MS);
			catalog.revision = this.asOf;
			return new CatalogChange(this.changed, this.removed, this.missing);
		}

	}

}
