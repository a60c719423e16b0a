package org.lovagevale.core.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.lovagevale.base.VmName;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.settings.model.EntryVm;

/**
 * Determines the links that carry digests: those that this process maintains and those
 * that other processes maintain to it.
 *
 * <p>
 * Both ends of a link compute the same graph from the published list of entry VMs. No
 * digests are sent on links that were opened on demand, because digests would keep these
 * links in use and the graph would grow into a full mesh. A starting process exchanges
 * digests with all VMs. Not thread-safe.
 */
final class GossipTopology {

	private final VmName self;

	private final ActiveSettings activeSettings;

	private final Members members;

	private final Set<VmName> neighbours = new HashSet<>();

	private List<EntryVm> vms = List.of();

	private Set<VmName> linkedPeers = Set.of();

	private int linkCount;

	private boolean started;

	GossipTopology(VmName self, ActiveSettings activeSettings, Members members) {
		this.self = self;
		this.activeSettings = activeSettings;
		this.members = members;
	}

	/**
	 * Returns the peers to which this process maintains links.
	 * @return the peers
	 */
	Set<VmName> linkedPeers() {
		return this.linkedPeers;
	}

	/**
	 * Recomputes the graph if the list of VMs, the number of links or the start state
	 * changed.
	 * @param started whether this process started to serve
	 * @return {@code true} if the set of linked peers changed
	 */
	boolean update(boolean started) {
		boolean isUnchanged = this.vms.equals(this.activeSettings.entryVms())
				&& this.linkCount == this.activeSettings.exchange().peerLinks();
		if (isUnchanged && this.started == started) {
			return false;
		}
		this.linkCount = this.activeSettings.exchange().peerLinks();
		this.started = started;
		this.vms = this.activeSettings.entryVms();
		Set<VmName> chosen = choose(this.self);
		this.neighbours.clear();
		this.neighbours.addAll(chosen);
		this.vms.stream()
			.map(EntryVm::name)
			.filter((vm) -> choose(vm).contains(this.self))
			.forEach(this.neighbours::add);
		Set<VmName> previous = this.linkedPeers;
		this.linkedPeers = started ? chosen : LinkSelector.allPeers(this.self, this.vms);
		return !this.linkedPeers.equals(previous);
	}

	// A peer that is starting or not known yet receives digests on any link.
	boolean isDigestPeer(VmName peer) {
		Member member = this.members.find(peer);
		return !this.started || this.neighbours.contains(peer) || member == null
				|| member.phase() == MemberPhase.STARTING;
	}

	private Set<VmName> choose(VmName vm) {
		return LinkSelector.choose(vm, this.vms, this.linkCount);
	}

}
