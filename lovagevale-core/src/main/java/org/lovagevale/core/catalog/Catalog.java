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
 * Invariants: neither the revision nor the version of the configuration ever decreases;
 * revisions are those of {@link CatalogRevision}. A server that is missing after an
 * outage or a restore of the store is kept for {@link #REREGISTRATION_MS}, since live
 * servers register again within that time, and an evacuation that is missing after a
 * restore for {@link #REPUBLICATION_MS}. A server that had left is not listed again
 * because of a report in a restored copy. Not thread-safe.
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
	 * Returns all published items, in encoded form. If the published configuration is
	 * unusable, the one in force precedes it, so that a process which starts meanwhile
	 * can use it.
	 * @return the items
	 */
	public Collection<PublishedItem> items() {
		List<PublishedItem> all = new ArrayList<>();
		PublishedItem inForce = this.configurationItem;
		if (inForce != null && this.decodedItems.get(inForce.key()) instanceof CatalogItem.Unusable) {
			all.add(inForce);
		}
		all.addAll(this.items.values());
		return all;
	}

	/**
	 * Replaces the state by a complete new one.
	 * @param state all items
	 * @param asOf the revision of the state
	 * @param observedAt the monotonic time at which it was current, in milliseconds
	 * @return the resulting difference; none if the state is older than the known one
	 */
	public CatalogChange replace(List<PublishedItem> state, long asOf, long observedAt) {
		if (asOf < this.revision) {
			return CatalogChange.NONE;
		}
		detectOutage(observedAt);
		detectRestore(asOf, observedAt);
		Set<String> missing = new HashSet<>(this.items.keySet());
		state.forEach((item) -> missing.remove(item.key()));
		if (observedAt < this.retainServersUntil) {
			missing.removeIf((key) -> this.decodedItems.get(key) instanceof CatalogItem.ListedServer);
		}
		if (observedAt < this.retainEvacuationsUntil) {
			missing.removeIf((key) -> this.decodedItems.get(key) instanceof CatalogItem.EvacuatedDomain);
		}
		return apply(state, missing, asOf, observedAt);
	}

	/**
	 * Applies a difference between two states.
	 * @param base the revision that the difference is based on
	 * @param change the difference
	 * @param asOf the revision that it leads to
	 * @param observedAt the monotonic time at which that revision was current, in
	 * milliseconds
	 * @return the difference as applied, or {@code null} if this catalog is older than
	 * the base
	 */
	public @Nullable CatalogChange applyChange(long base, CatalogChange change, long asOf, long observedAt) {
		if (asOf < this.revision) {
			return CatalogChange.NONE;
		}
		if (base > this.revision) {
			return null;
		}
		detectOutage(observedAt);
		detectRestore(asOf, observedAt);
		return apply(change.changed(), change.removed(), asOf, observedAt);
	}

	private void detectOutage(long observedAt) {
		if (this.confirmedAt != Long.MIN_VALUE && observedAt - this.confirmedAt > OUTAGE_THRESHOLD_MS) {
			this.retainServersUntil = observedAt + REREGISTRATION_MS;
		}
	}

	private void detectRestore(long asOf, long observedAt) {
		if (this.revision != 0 && CatalogRevision.era(asOf) > CatalogRevision.era(this.revision)) {
			this.retainServersUntil = Math.max(this.retainServersUntil, observedAt + REREGISTRATION_MS);
			this.retainEvacuationsUntil = observedAt + REPUBLICATION_MS;
		}
	}

	private CatalogChange apply(Collection<PublishedItem> published, Collection<String> removedKeys, long asOf,
			long observedAt) {
		List<PublishedItem> changed = new ArrayList<>();
		List<String> removed = new ArrayList<>();
		for (PublishedItem item : published) {
			if (update(item)) {
				changed.add(item);
			}
		}
		for (String key : removedKeys) {
			if (this.items.remove(key) != null) {
				this.decodedItems.remove(key);
				ReportOrder order = this.reportOrders.remove(key);
				if (order != null) {
					this.departed.put(key, new DepartedServer(order, asOf, observedAt));
				}
				removed.add(key);
			}
		}
		this.departed.values().removeIf((server) -> observedAt - server.removedAt() > DEPARTED_MEMORY_MS);
		this.revision = asOf;
		this.confirmedAt = Math.max(this.confirmedAt, observedAt);
		return new CatalogChange(changed, removed);
	}

	private boolean update(PublishedItem item) {
		PublishedItem present = this.items.get(item.key());
		if (present != null && item.revision() <= present.revision()) {
			return adoptFormer(item);
		}
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

}
