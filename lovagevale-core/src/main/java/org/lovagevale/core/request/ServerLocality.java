package org.lovagevale.core.request;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.VmName;
import org.lovagevale.core.fleet.RendezvousHash;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.EntryVm;

/**
 * The location of a backend server relative to this VM, and the connections that this VM
 * may open to it.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param connections the maximum number of connections from this VM, 0 if the server is
 * left to other VMs
 * @param sameDomain whether both are in the same failure domain
 * @param sameRegion whether both are in the same region
 */
record ServerLocality(int connections, boolean sameDomain, boolean sameRegion) {

	private static final double OTHER_DOMAIN_COST_REQUESTS = 0.1;

	/**
	 * Determines the locality of a backend server.
	 * @param server the backend server
	 * @param totalConnections the number of connections that the server accepts from all
	 * entry VMs together
	 * @param self this VM, or {@code null} if the settings do not list it
	 * @param entryVms all entry VMs in the settings
	 * @return the locality
	 */
	static ServerLocality of(BackendServer server, int totalConnections, @Nullable EntryVm self,
			List<EntryVm> entryVms) {
		boolean sameDomain = self != null && self.domain().equals(server.domain());
		boolean sameRegion = self != null && self.region().equals(server.region());
		int vms = Math.max(1, entryVms.size());
		int connections = totalConnections / vms;
		if (connections == 0) {
			connections = (self != null && isAmongHighestScores(server, totalConnections, self.name(), entryVms)) ? 1
					: 0;
		}
		return new ServerLocality(connections, sameDomain, sameRegion);
	}

	private static boolean isAmongHighestScores(BackendServer server, int count, VmName self, List<EntryVm> entryVms) {
		long ownScore = RendezvousHash.score(server.name().value(), self.value());
		int higherScoreCount = 0;
		for (EntryVm vm : entryVms) {
			if (!vm.name().equals(self) && RendezvousHash.score(server.name().value(), vm.name().value()) > ownScore) {
				higherScoreCount++;
			}
		}
		return higherScoreCount < count;
	}

	/**
	 * Returns the cost of the network path, in the unit of the routing score.
	 * @param slots the number of slots of the backend server
	 * @return the cost in requests; for another region it equals the number of slots, so
	 * that such a server is used only when the servers of this region have that many more
	 * requests
	 */
	double linkCost(int slots) {
		if (this.sameDomain) {
			return 0;
		}
		return (this.sameRegion) ? OTHER_DOMAIN_COST_REQUESTS : slots;
	}

}
