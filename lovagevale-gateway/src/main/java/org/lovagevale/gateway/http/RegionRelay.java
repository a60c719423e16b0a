package org.lovagevale.gateway.http;

import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.placing.HomeRegion;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.gateway.fleet.CatalogKeeper;

/**
 * Finds the entry VM of another region that takes over a request which must not be served
 * in this one.
 *
 * <p>
 * A request is relayed once at most: the entry VM that takes it over places it. Confined
 * to the event loop.
 */
public final class RegionRelay {

	private final Region home;

	private final RemoteContacts contacts;

	private final CatalogKeeper catalog;

	private final HomeRegion regions;

	/**
	 * Creates a relay.
	 * @param home the region of this process
	 * @param contacts the entry VMs of other regions
	 * @param catalog the known servers
	 * @param regions chooses a region
	 */
	public RegionRelay(Region home, RemoteContacts contacts, CatalogKeeper catalog, HomeRegion regions) {
		this.home = home;
		this.contacts = contacts;
		this.catalog = catalog;
		this.regions = regions;
	}

	/**
	 * Finds an entry VM.
	 * @param request the request
	 * @param tried the regions that rejected it
	 * @return the entry VM in the form of a server, or {@code null} if the request is
	 * placed here
	 */
	@Nullable BackendInstance find(CallerRequest request, Set<Region> tried) {
		if (request.relayed() || request.route().isAllowedIn(this.home)) {
			return null;
		}
		Set<Region> candidates = new HashSet<>();
		for (Region region : request.route().homes()) {
			if (!tried.contains(region) && this.contacts.in(region) != null) {
				candidates.add(region);
			}
		}
		Region chosen = this.regions.choose(request.service(), candidates, this.catalog.servers().values(),
				this.catalog.catalog().evacuated());
		RosterMember member = (chosen != null) ? this.contacts.in(chosen) : null;
		return (member != null) ? toServer(member, request) : null;
	}

	private static BackendInstance toServer(RosterMember member, CallerRequest request) {
		return new BackendInstance(new ServerName(member.vm().value()), request.service(), member.host(),
				member.callerPort(), member.domain(), member.region(), 1, false, 0, 0);
	}

	void responded(BackendInstance server) {
		this.contacts.responded(new VmName(server.id().value()));
	}

	void failed(BackendInstance server) {
		this.contacts.failed(new VmName(server.id().value()));
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
