package org.lovagevale.core.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.lovagevale.base.VmName;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.settings.model.EntryVm;

/**
 * The links over which digests flow: those that this process keeps and those that others
 * keep to it.
 *
 * <p>
 * Both ends compute the same graph from the published list. Digests on any other link
 * would keep a link in use that was opened on demand, and the graph would grow into a
 * full mesh. A process that starts exchanges digests with everybody. Not thread-safe.
 */
final class GossipTopology {

	private final VmName self;

	private final ActiveSettings activeSettings;

	private final Members members;

	private final Set<VmName> neighbours = new HashSet<>();

	private List<EntryVm> vms = List.of();

	private Set<VmName> maintained = Set.of();

	private int linkCount;

	private boolean started;

	GossipTopology(VmName self, ActiveSettings activeSettings, Members members) {
		this.self = self;
		this.activeSettings = activeSettings;
		this.members = members;
	}

	/**
	 * Returns the links that this process keeps.
	 * @return the peers
	 */
	Set<VmName> maintained() {
		return this.maintained;
	}

	/**
	 * Uses the settings in force.
	 * @param started whether this process has started to serve
	 * @return {@code true} if the links to keep changed
	 */
	boolean update(boolean started) {
		boolean isSame = this.vms.equals(this.activeSettings.entryVms())
				&& this.linkCount == this.activeSettings.exchange().peerLinks();
		if (isSame && this.started == started) {
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
		Set<VmName> previous = this.maintained;
		this.maintained = started ? chosen : LinkSelector.all(this.self, this.vms);
		return !this.maintained.equals(previous);
	}

	boolean isDigestPeer(VmName peer) {
		Member member = this.members.find(peer);
		return !this.started || this.neighbours.contains(peer) || member == null
				|| member.phase() == MemberPhase.STARTING;
	}

	private Set<VmName> choose(VmName vm) {
		return LinkSelector.choose(vm, this.vms, this.linkCount);
	}

}
