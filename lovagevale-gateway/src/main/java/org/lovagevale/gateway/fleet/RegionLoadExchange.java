package org.lovagevale.gateway.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.Clock;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.message.RegionLoad;
import org.lovagevale.core.placing.RegionCapacity;
import org.lovagevale.core.placing.SlotDispatcher;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.gateway.GatewayMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges the capacity of the services with the dispatchers of other regions.
 *
 * <p>
 * The dispatcher of a service sends its figures to its contact in each other region, and
 * that entry VM passes them on to the dispatcher there. Confined to the event loop.
 */
public final class RegionLoadExchange {

	/** Interval of the reports of a service, in milliseconds. */
	static final long INTERVAL_MS = 1_000;

	/** Interval while requests wait or little capacity is left, in milliseconds. */
	static final long SHORT_INTERVAL_MS = 250;

	private static final Logger LOGGER = LoggerFactory.getLogger(RegionLoadExchange.class);

	private final Clock clock;

	private final Roster roster;

	private final RemoteContacts contacts;

	private final RegionMessageSender sender;

	private final SlotDispatcher dispatcher;

	private final CatalogUpdater catalog;

	private final GatewayMetrics metrics;

	private final Map<ServiceName, Long> sentAt = new HashMap<>();

	private final Set<ServiceName> moving = new HashSet<>();

	/**
	 * Creates an exchange that has sent nothing.
	 * @param clock the clock
	 * @param roster determines the dispatcher of a service
	 * @param contacts the entry VMs of other regions
	 * @param sender sends messages to other entry processes
	 * @param dispatcher the dispatcher of this process
	 * @param catalog the known servers
	 * @param metrics counts the messages
	 */
	public RegionLoadExchange(Clock clock, Roster roster, RemoteContacts contacts, RegionMessageSender sender,
			SlotDispatcher dispatcher, CatalogUpdater catalog, GatewayMetrics metrics) {
		this.clock = clock;
		this.roster = roster;
		this.contacts = contacts;
		this.sender = sender;
		this.dispatcher = dispatcher;
		this.catalog = catalog;
		this.metrics = metrics;
	}

	/**
	 * Sends the reports that are due. To be called periodically.
	 */
	public void tick() {
		Set<Region> regions = this.contacts.regions();
		Set<ServiceName> services = new HashSet<>();
		for (BackendInstance server : this.catalog.servers().values()) {
			if (server.region().equals(this.roster.self().region())) {
				services.add(server.service());
			}
		}
		services.removeIf((service) -> !isDispatchedHere(service));
		this.sentAt.keySet().retainAll(services);
		for (ServiceName service : services) {
			logIfChanged(service);
			if (!regions.isEmpty()) {
				sendIfDue(service, regions);
			}
		}
	}

	private void sendIfDue(ServiceName service, Set<Region> regions) {
		long now = this.clock.millis();
		Long last = this.sentAt.get(service);
		if (last != null && now - last < SHORT_INTERVAL_MS) {
			return;
		}
		RegionCapacity capacity = this.dispatcher.capacity(service);
		if (last != null && !capacity.isShort() && now - last < INTERVAL_MS) {
			return;
		}
		this.sentAt.put(service, now);
		RegionLoad load = new RegionLoad(this.roster.self().region().value(), service.value(), capacity.freeSlots(),
				capacity.usedSlots(), capacity.queuedWorkMs(), 0);
		for (Region region : regions) {
			RosterMember contact = this.contacts.contactIn(region);
			if (contact != null) {
				this.sender.send(contact.vm(), load);
				this.metrics.countRegionLoad(service.value(), "sent");
			}
		}
	}

	private boolean isDispatchedHere(ServiceName service) {
		return this.roster.dispatcher(service).vm().equals(this.roster.self().vm());
	}

	private void logIfChanged(ServiceName service) {
		double slots = this.dispatcher.movedSlots(service);
		boolean changed = (slots > 0) ? this.moving.add(service) : this.moving.remove(service);
		if (changed) {
			RegionCapacity own = this.dispatcher.capacity(service);
			LOGGER.info("{}",
					LogLine.event("region.overflow")
						.with("service", service)
						.with("active", slots > 0)
						.with("freeSlots", own.freeSlots())
						.with("usedSlots", own.usedSlots())
						.with("queuedWorkMs", own.queuedWorkMs()));
		}
	}

	/**
	 * Handles a report: uses it if this process is the dispatcher of the service, and
	 * otherwise passes a report that comes from another region on to the dispatcher.
	 * @param from the VM of the sender
	 * @param load the report
	 * @throws IllegalArgumentException if a value in the message is invalid
	 */
	public void handle(VmName from, RegionLoad load) {
		Region region = new Region(load.region());
		ServiceName service = new ServiceName(load.service());
		if (region.equals(this.roster.self().region()) || load.ageMs() < 0) {
			return;
		}
		RegionCapacity capacity = new RegionCapacity(load.freeSlots(), load.usedSlots(), load.queuedWorkMs());
		VmName dispatcherVm = this.roster.dispatcher(service).vm();
		if (dispatcherVm.equals(this.roster.self().vm())) {
			this.metrics.countRegionLoad(service.value(), "received");
			this.dispatcher.recordRemoteCapacity(service, region, capacity, load.ageMs());
			return;
		}
		RosterMember sender = this.roster.find(from);
		boolean fromOtherRegion = sender == null || !sender.region().equals(this.roster.self().region());
		if (fromOtherRegion) {
			this.sender.send(dispatcherVm, load);
		}
	}

}
