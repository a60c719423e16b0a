package org.lovagevale.core.request;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.VmName;
import org.lovagevale.core.fleet.RendezvousHash;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.EntryVm;

/**
 * How this VM reaches a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param connections connections that this VM may open to it, 0 if other VMs use it
 * @param sameDomain whether both are in one failure domain
 * @param sameRegion whether both are in one region
 */
record Placement(int connections, boolean sameDomain, boolean sameRegion) {

	private static final double OTHER_DOMAIN_COST = 0.1;

	/**
	 * Computes the placement.
	 * @param server the backend server
	 * @param allConnections connections that it accepts from all entry VMs together
	 * @param self this VM, or {@code null} if it is not published
	 * @param entryVms all published entry VMs
	 * @return the placement
	 */
	static Placement of(BackendServer server, int allConnections, @Nullable EntryVm self, List<EntryVm> entryVms) {
		boolean sameDomain = self != null && self.domain().equals(server.domain());
		boolean sameRegion = self != null && self.region().equals(server.region());
		int vms = Math.max(1, entryVms.size());
		int connections = allConnections / vms;
		if (connections == 0) {
			connections = (self != null && isAmongFirst(server, allConnections, self.name(), entryVms)) ? 1 : 0;
		}
		return new Placement(connections, sameDomain, sameRegion);
	}

	private static boolean isAmongFirst(BackendServer server, int count, VmName self, List<EntryVm> entryVms) {
		long own = RendezvousHash.score(server.name().value(), self.value());
		int before = 0;
		for (EntryVm vm : entryVms) {
			if (!vm.name().equals(self) && RendezvousHash.score(server.name().value(), vm.name().value()) > own) {
				before++;
			}
		}
		return before < count;
	}

	/**
	 * Returns the cost of the link in the unit of the score.
	 * @param slots the slots of the backend server
	 * @return the cost in requests; a server in another region is used when those in this
	 * region have as many requests more as it has slots
	 */
	double linkCost(int slots) {
		if (this.sameDomain) {
			return 0;
		}
		return (this.sameRegion) ? OTHER_DOMAIN_COST : slots;
	}

}
