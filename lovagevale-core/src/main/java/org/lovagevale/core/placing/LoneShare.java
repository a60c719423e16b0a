package org.lovagevale.core.placing;

import java.util.Collection;

import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.fleet.RendezvousHash;

/**
 * Divides the slots of each server between entry VMs that place requests without knowing
 * of each other.
 *
 * <p>
 * Answers a dispatcher that is lost or silent and a region that is split: if each VM used
 * all slots of a server, the requests of several VMs would fill it, and a server that is
 * full may never respond. VMs with the same view of the region together place at most as
 * many requests on a server as it has slots. Immutable and thread-safe.
 */
public final class LoneShare {

	private LoneShare() {
	}

	/**
	 * Returns the number of requests that one VM may place on a server at a time.
	 * @param server the server
	 * @param slots the number of its slots
	 * @param self the VM
	 * @param vms the known entry VMs of the region, with or without {@code self}
	 * @return the number, from 0 to the number of slots
	 */
	public static int maxRequests(BackendInstance server, int slots, VmName self, Collection<VmName> vms) {
		long ownScore = RendezvousHash.score(server.id().value(), self.value());
		int rank = 0;
		int others = 0;
		for (VmName vm : vms) {
			if (vm.equals(self)) {
				continue;
			}
			others++;
			long score = RendezvousHash.score(server.id().value(), vm.value());
			rank += (score > ownScore || score == ownScore && vm.compareTo(self) < 0) ? 1 : 0;
		}
		int count = others + 1;
		return slots / count + ((rank < slots % count) ? 1 : 0);
	}

}
