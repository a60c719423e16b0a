package org.lovagevale.gateway.http;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.placing.HomeRegionChooser;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.gateway.fleet.CatalogUpdater;

/**
 * Finds the entry VM of another region that takes over a request which must not be served
 * in this region, or for which this region has no capacity.
 *
 * <p>
 * A request is relayed at most once: the entry VM that takes it over places it on a
 * server. Confined to the event loop.
 */
public final class RegionRelay {

	/**
	 * Time after a rejection, in milliseconds, for which the rejecting region gets no
	 * requests that can be placed in the local region. An overload usually lasts longer.
	 */
	static final long REJECTION_BACKOFF_MS = 400;

	/** A time far in the past that can be subtracted from any time without overflow. */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Clock clock;

	private final Map<Region, Long> rejectedAt = new HashMap<>();

	private final Region localRegion;

	private final RemoteContacts contacts;

	private final CatalogUpdater catalog;

	private final HomeRegionChooser regionChooser;

	/**
	 * Creates a relay.
	 * @param clock the clock
	 * @param localRegion the region of this process
	 * @param contacts the entry VMs of other regions
	 * @param catalog the known servers
	 * @param regionChooser chooses the region that takes over a request
	 */
	public RegionRelay(Clock clock, Region localRegion, RemoteContacts contacts, CatalogUpdater catalog,
			HomeRegionChooser regionChooser) {
		this.clock = clock;
		this.localRegion = localRegion;
		this.contacts = contacts;
		this.catalog = catalog;
		this.regionChooser = regionChooser;
	}

	/**
	 * Tells whether a request must not be placed in this region.
	 * @param request the request
	 * @return {@code true} if this region is not one of its home regions
	 */
	boolean isOutsideHomeRegions(CallerRequest request) {
		return !request.route().isAllowedIn(this.localRegion);
	}

	/**
	 * Tells whether an entry VM of another region could place a request.
	 * @param request the request
	 * @return {@code true} if an entry VM is known in a region that may serve the request
	 */
	boolean hasCandidateRegion(CallerRequest request) {
		return this.contacts.regions().stream().anyMatch(request.route()::isAllowedIn);
	}

	/**
	 * Tells whether an entry VM of another region is known.
	 * @return {@code true} if there is one
	 */
	boolean hasContacts() {
		return !this.contacts.regions().isEmpty();
	}

	/**
	 * Finds an entry VM of another region.
	 * @param request the request
	 * @param tried the regions to which the request was already relayed
	 * @return the entry VM, represented as a backend server, or {@code null} if there is
	 * none or the request was already relayed by another entry VM
	 */
	@Nullable BackendInstance findEntryVm(CallerRequest request, Set<Region> tried) {
		if (request.relayed()) {
			return null;
		}
		long now = this.clock.millis();
		Set<Region> candidates = new HashSet<>();
		for (Region region : this.contacts.regions()) {
			boolean recentlyRejected = now - this.rejectedAt.getOrDefault(region, NEVER) < REJECTION_BACKOFF_MS;
			if (!tried.contains(region) && request.route().isAllowedIn(region)
					&& (isOutsideHomeRegions(request) || !recentlyRejected)) {
				candidates.add(region);
			}
		}
		Region chosen = this.regionChooser.choose(request.service(), candidates, this.catalog.servers().values(),
				this.catalog.catalog().evacuated());
		RosterMember member = (chosen != null) ? this.contacts.contactIn(chosen) : null;
		return (member != null) ? toServer(member, request) : null;
	}

	/**
	 * Returns the regions to which the dispatcher of the service may move a request.
	 * @param request the request
	 * @param tried the regions to which the request was already relayed
	 * @return the regions; empty if the request must be placed in this region or was
	 * relayed by another entry VM
	 */
	Set<Region> overflowRegions(CallerRequest request, Set<Region> tried) {
		if (request.relayed() || isOutsideHomeRegions(request)) {
			return Set.of();
		}
		long now = this.clock.millis();
		Set<Region> regions = new HashSet<>(this.contacts.regions());
		regions.removeAll(tried);
		regions.removeIf((region) -> !request.route().isAllowedIn(region)
				|| now - this.rejectedAt.getOrDefault(region, NEVER) < REJECTION_BACKOFF_MS);
		return regions;
	}

	/**
	 * Finds the entry VM that takes over a request in a given region.
	 * @param request the request
	 * @param region the region
	 * @return the entry VM, represented as a backend server, or {@code null} if none is
	 * known
	 */
	@Nullable BackendInstance findEntryVmIn(CallerRequest request, Region region) {
		RosterMember member = this.contacts.contactIn(region);
		return (member != null) ? toServer(member, request) : null;
	}

	private static BackendInstance toServer(RosterMember member, CallerRequest request) {
		return new BackendInstance(new ServerName(member.vm().value()), request.service(), member.host(),
				member.callerPort(), member.domain(), member.region(), 1, false, 0, 0);
	}

	/**
	 * Returns the incarnation of the process on an entry VM.
	 * @param entryVm the entry VM
	 * @return the incarnation, empty if the entry VM is no longer known
	 */
	String receiver(BackendInstance entryVm) {
		RosterMember member = this.contacts.find(new VmName(entryVm.id().value()));
		return (member != null) ? member.incarnation().toString() : "";
	}

	/**
	 * Records that a region rejected a request. For {@link #REJECTION_BACKOFF_MS}, no
	 * requests that can be placed in the local region are relayed to that region.
	 * @param region the region
	 */
	void rejected(Region region) {
		this.rejectedAt.put(region, this.clock.millis());
	}

	void responded(BackendInstance entryVm) {
		this.contacts.recordResponse(new VmName(entryVm.id().value()));
	}

	void failed(BackendInstance entryVm) {
		this.contacts.recordFailure(new VmName(entryVm.id().value()));
	}

	/**
	 * Returns the names under which connections to entry VMs of other regions are pooled.
	 * @return the names
	 */
	public Set<ServerName> connectionNames() {
		Set<ServerName> names = new HashSet<>();
		this.contacts.usable().forEach((member) -> names.add(new ServerName(member.vm().value())));
		return names;
	}

}
