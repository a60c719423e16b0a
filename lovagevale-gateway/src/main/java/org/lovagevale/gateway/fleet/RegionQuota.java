package org.lovagevale.gateway.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lovagevale.base.Clock;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.placing.LoneShare;
import org.lovagevale.core.placing.ServerQuota;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;

/**
 * Limits the requests that this process places on a server while other entry VMs of the
 * region may place requests on it without knowing of these.
 *
 * <p>
 * The dispatcher of a service that sees a majority of its region uses all slots, any
 * other process only its share. Confined to the event loop.
 */
public final class RegionQuota implements ServerQuota {

	/** Time for which the computed shares are used, in milliseconds. */
	private static final long VALIDITY_MS = 500;

	private final Clock clock;

	private final Roster roster;

	private final Map<ServerName, Integer> shares = new HashMap<>();

	private List<VmName> vms = List.of();

	/** A time far in the past that can be subtracted from any time without overflow. */
	private long computedAt = Long.MIN_VALUE / 2;

	/**
	 * Creates a quota.
	 * @param clock the clock
	 * @param roster the entry VMs of the region
	 */
	public RegionQuota(Clock clock, Roster roster) {
		this.clock = clock;
		this.roster = roster;
	}

	@Override
	public int maxRequests(BackendInstance server, int slots) {
		VmName self = this.roster.self().vm();
		if (this.roster.hasMajority() && this.roster.dispatcher(server.service()).vm().equals(self)) {
			return slots;
		}
		refresh();
		return this.shares.computeIfAbsent(server.id(), (name) -> LoneShare.maxRequests(server, slots, self, this.vms));
	}

	private void refresh() {
		long now = this.clock.millis();
		if (now - this.computedAt >= VALIDITY_MS) {
			this.computedAt = now;
			this.shares.clear();
			this.vms = this.roster.known()
				.stream()
				.filter((member) -> member.region().equals(this.roster.self().region()))
				.map(RosterMember::vm)
				.toList();
		}
	}

}
