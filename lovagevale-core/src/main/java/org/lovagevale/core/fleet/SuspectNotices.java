package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.Clock;
import org.lovagevale.base.RandomSource;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.SuspectEntry;
import org.lovagevale.core.message.SuspectNotice;

/**
 * Sends notices about suspects to peers and tracks their acknowledgements.
 *
 * <p>
 * Not thread-safe.
 */
final class SuspectNotices {

	/** Time for which a notice is kept after its deadline. */
	private static final long RETENTION_MS = 60_000;

	private final Clock clock;

	private final ActiveSettings activeSettings;

	private final Members members;

	private final Suspects suspects;

	private final PeerLinks peerLinks;

	private final Map<Long, PendingNotice> pendingNotices = new HashMap<>();

	private long nextId;

	SuspectNotices(Clock clock, RandomSource random, ActiveSettings activeSettings, Members members, Suspects suspects,
			PeerLinks peerLinks) {
		this.clock = clock;
		this.activeSettings = activeSettings;
		this.members = members;
		this.suspects = suspects;
		this.peerLinks = peerLinks;
		// The initial value is random so that a restarted process does not accept
		// acknowledgements meant for its predecessor.
		this.nextId = random.nextLong() >>> 1;
	}

	/**
	 * Sends a notice to all reachable peers in the given regions.
	 * @param entry the state of the suspect
	 * @param regions the home regions of the request, empty for all regions
	 * @return the identifier of the notice
	 */
	long send(SuspectEntry entry, Set<Region> regions) {
		long id = this.nextId++;
		Set<VmName> peers = new HashSet<>();
		long withinMs = this.activeSettings.exchange().unreachableMs();
		for (Member member : this.members.all()) {
			if (this.members.isReachableWithin(member, withinMs)
					&& this.activeSettings.isInHomeRegions(member.vm(), regions)) {
				peers.add(member.vm());
				this.peerLinks.send(member.vm(), new SuspectNotice(id, entry));
			}
		}
		long deadline = this.clock.millis() + this.activeSettings.exchange().noticeWaitMs();
		this.pendingNotices.put(id, new PendingNotice(entry.fingerprint(), entry.trialMs() > 0, peers, deadline));
		return id;
	}

	void recordAcknowledgement(VmName peer, long id) {
		PendingNotice notice = this.pendingNotices.get(id);
		if (notice != null) {
			notice.unacknowledged().remove(peer);
		}
	}

	/**
	 * Tells whether all peers acknowledged a notice or its deadline passed. A trial
	 * notice is not settled while a trial that takes precedence runs on another VM.
	 * @param id the identifier of the notice
	 * @return {@code true} if it is settled or not known
	 */
	boolean isSettled(long id) {
		PendingNotice notice = this.pendingNotices.get(id);
		if (notice == null) {
			return true;
		}
		if (notice.trial() && this.suspects.hasPrecedingTrial(notice.fingerprint())) {
			return false;
		}
		return notice.unacknowledged().isEmpty() || this.clock.millis() >= notice.deadline();
	}

	void expire() {
		long now = this.clock.millis();
		this.pendingNotices.values().removeIf((notice) -> now - notice.deadline() > RETENTION_MS);
	}

	/**
	 * A notice that was sent.
	 *
	 * @param fingerprint the fingerprint of the request
	 * @param trial whether it announces the start of a trial
	 * @param unacknowledged the peers that have not acknowledged it yet
	 * @param deadline when waiting for acknowledgements ends, in monotonic milliseconds
	 */
	private record PendingNotice(String fingerprint, boolean trial, Set<VmName> unacknowledged, long deadline) {

	}

}
