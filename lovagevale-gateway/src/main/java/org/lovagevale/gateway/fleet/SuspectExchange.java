package org.lovagevale.gateway.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.Clock;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.CrashSuspectEntry;
import org.lovagevale.core.message.RosterList;
import org.lovagevale.core.placing.CrashSuspects;
import org.lovagevale.core.placing.SlotDispatcher;
import org.lovagevale.core.placing.SuspectReports;
import org.lovagevale.core.placing.SuspectSource;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.gateway.GatewayMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges the crash suspects with the other entry processes of the region and with one
 * contact in each other region.
 *
 * <p>
 * Hubs also pass on what they learned from others. Nothing is sent while no suspect
 * changes. Confined to the event loop.
 */
public final class SuspectExchange {

	/** Interval at which suspects without strikes are removed, in milliseconds. */
	private static final long REMOVAL_INTERVAL_MS = 1_000;

	private static final Logger LOGGER = LoggerFactory.getLogger(SuspectExchange.class);

	private final Clock clock;

	private final Roster roster;

	private final RemoteContacts contacts;

	private final RegionMessageSender sender;

	private final CrashSuspects suspects;

	private final SuspectReports reports;

	private final GatewayMetrics metrics;

	private long removedAt;

	private long recordedVersion;

	/**
	 * Creates an exchange that has sent nothing.
	 * @param clock the clock
	 * @param roster the entry processes of the region
	 * @param contacts the entry VMs of other regions
	 * @param sender sends messages to other entry processes
	 * @param dispatcher the dispatcher of this process
	 * @param metrics gets the number of suspects
	 */
	public SuspectExchange(Clock clock, Roster roster, RemoteContacts contacts, RegionMessageSender sender,
			SlotDispatcher dispatcher, GatewayMetrics metrics) {
		this.clock = clock;
		this.roster = roster;
		this.contacts = contacts;
		this.sender = sender;
		this.suspects = dispatcher.suspects();
		this.reports = dispatcher.suspectReports();
		this.metrics = metrics;
		this.removedAt = clock.millis();
	}

	/**
	 * Sends the changes that are due. To be called periodically.
	 */
	public void tick() {
		if (this.suspects.size() == 0) {
			return;
		}
		long now = this.clock.millis();
		if (now - this.removedAt >= REMOVAL_INTERVAL_MS) {
			this.removedAt = now;
			this.suspects.removeCleared(now);
			recordNumbers();
		}
		for (Long fingerprint : this.suspects.takeOwnChanges()) {
			log("suspect.changed", fingerprint, this.roster.self().vm());
		}
		if (this.suspects.version() != this.recordedVersion) {
			recordNumbers();
		}
		Map<VmName, Boolean> receivers = receivers();
		Set<VmName> present = new HashSet<>(receivers.keySet());
		this.contacts.usable().forEach((contact) -> present.add(contact.vm()));
		this.reports.retain(present);
		boolean relays = this.roster.hubs().stream().anyMatch((hub) -> hub.vm().equals(this.roster.self().vm()));
		receivers.forEach((vm, sameRegion) -> {
			List<CrashSuspectEntry> due = this.reports.takeDue(vm, sameRegion, relays, now);
			if (!due.isEmpty()) {
				this.sender.send(vm, new RosterList(List.of(), due));
			}
		});
	}

	private void recordNumbers() {
		this.recordedVersion = this.suspects.version();
		this.metrics.recordSuspects(this.suspects.size(), this.suspects.quarantined(), this.suspects.trialCount());
	}

	private void log(String event, long fingerprint, VmName source) {
		LogLine line = LogLine.event(event)
			.with("fingerprint", Long.toHexString(fingerprint))
			.with("strikes", this.suspects.strikes(fingerprint));
		VmName last = this.suspects.lastStrikeOf(fingerprint);
		if (last != null) {
			line.with("lastStrikeOf", last);
		}
		LOGGER.info("{}", line.with("source", source));
	}

	private Map<VmName, Boolean> receivers() {
		Map<VmName, Boolean> receivers = new HashMap<>();
		for (RosterMember member : this.roster.alive()) {
			if (!member.vm().equals(this.roster.self().vm())) {
				receivers.put(member.vm(), true);
			}
		}
		for (Region region : this.contacts.regions()) {
			RosterMember contact = this.contacts.contactIn(region);
			if (contact != null) {
				receivers.put(contact.vm(), false);
			}
		}
		return receivers;
	}

	/**
	 * Handles the suspects that another process reported.
	 * @param from the VM of the sender
	 * @param entries the suspects
	 * @throws IllegalArgumentException if a value in the entries is invalid
	 */
	public void handle(VmName from, List<CrashSuspectEntry> entries) {
		if (entries.size() > SuspectReports.MAX_SUSPECTS) {
			throw new IllegalArgumentException("list has " + entries.size() + " suspects, at most "
					+ SuspectReports.MAX_SUSPECTS + " are allowed");
		}
		RosterMember sender = this.roster.find(from);
		boolean sameRegion = sender != null && sender.region().equals(this.roster.self().region());
		long now = this.clock.millis();
		for (CrashSuspectEntry entry : entries) {
			if (this.suspects.merge(entry, sameRegion ? SuspectSource.REGION : SuspectSource.OTHER_REGION, now)) {
				log("suspect.learned", entry.fingerprint(), from);
			}
		}
	}

}
