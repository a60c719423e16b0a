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
 * in this one, or which this one has no room for.
 *
 * <p>
 * A request is relayed once at most: the entry VM that takes it over places it. Confined
 * to the event loop.
 */
public final class RegionRelay {

	/** An overload lasts longer than this as a rule, in milliseconds. */
	static final long REJECTING_MS = 400;

	/** Far in the past, yet safe to subtract from any time. */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Clock clock;

	private final Map<Region, Long> rejectedAt = new HashMap<>();

	private final Region home;

	private final RemoteContacts contacts;

	private final CatalogUpdater catalog;

	private final HomeRegionChooser regions;

	/**
	 * Creates a relay.
	 * @param clock the clock
	 * @param home the region of this process
	 * @param contacts the entry VMs of other regions
	 * @param catalog the known servers
	 * @param regions chooses a region
	 */
	public RegionRelay(Clock clock, Region home, RemoteContacts contacts, CatalogUpdater catalog,
			HomeRegionChooser regions) {
		this.clock = clock;
		this.home = home;
		this.contacts = contacts;
		this.catalog = catalog;
		this.regions = regions;
	}

	/**
	 * Tells whether a request must not be placed in this region.
	 * @param request the request
	 * @return {@code true} if its homes are other regions
	 */
	boolean isAway(CallerRequest request) {
		return !request.route().isAllowedIn(this.home);
	}

	/**
	 * Tells whether entry VMs of other regions could place a request.
	 * @param request the request
	 * @return {@code true} if one is known in a region that the request may go to
	 */
	boolean isPossible(CallerRequest request) {
		return this.contacts.regions().stream().anyMatch(request.route()::isAllowedIn);
	}

	/**
	 * Finds an entry VM of another region.
	 * @param request the request
	 * @param tried the regions that rejected it
	 * @return the entry VM in the form of a server, or {@code null} if there is none or
	 * another entry VM has passed the request on already
	 */
	@Nullable BackendInstance find(CallerRequest request, Set<Region> tried) {
		if (request.relayed()) {
			return null;
		}
		long now = this.clock.millis();
		Set<Region> candidates = new HashSet<>();
		for (Region region : this.contacts.regions()) {
			boolean rejects = now - this.rejectedAt.getOrDefault(region, NEVER) < REJECTING_MS;
			if (!tried.contains(region) && request.route().isAllowedIn(region) && (isAway(request) || !rejects)) {
				candidates.add(region);
			}
		}
		Region chosen = this.regions.choose(request.service(), candidates, this.catalog.servers().values(),
				this.catalog.catalog().evacuated());
		RosterMember member = (chosen != null) ? this.contacts.contactIn(chosen) : null;
		return (member != null) ? toServer(member, request) : null;
	}

	private static BackendInstance toServer(RosterMember member, CallerRequest request) {
		return new BackendInstance(new ServerName(member.vm().value()), request.service(), member.host(),
				member.callerPort(), member.domain(), member.region(), 1, false, 0, 0);
	}

	/**
	 * Notes that a region rejected a request, so that no more of those that can be placed
	 * here are passed on to it for {@link #REJECTING_MS}.
	 * @param region the region
	 */
	void rejected(Region region) {
		this.rejectedAt.put(region, this.clock.millis());
	}

	void responded(BackendInstance server) {
		this.contacts.recordResponse(new VmName(server.id().value()));
	}

	void failed(BackendInstance server) {
		this.contacts.recordFailure(new VmName(server.id().value()));
	}

	/**
	 * Returns the names under which connections to other entry VMs are kept.
	 * @return the names
	 */
	public Set<ServerName> names() {
		Set<ServerName> names = new HashSet<>();
		this.contacts.usable().forEach((member) -> names.add(new ServerName(member.vm().value())));
		return names;
	}

}
