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
 * Notices to peers and their acknowledgements.
 *
 * <p>
 * Not thread-safe.
 */
final class Notices {

	private static final long KEEP_MS = 60_000;

	private final Clock clock;

	private final Published published;

	private final Members members;

	private final Suspects suspects;

	private final Outbox outbox;

	private final Map<Long, Pending> pending = new HashMap<>();

	private long nextId;

	Notices(Clock clock, RandomSource random, Published published, Members members, Suspects suspects, Outbox outbox) {
		this.clock = clock;
		this.published = published;
		this.members = members;
		this.suspects = suspects;
		this.outbox = outbox;
		// A restarted process does not take acknowledgements for its predecessor.
		this.nextId = random.nextLong() >>> 1;
	}

	/**
	 * Sends a notice to all peers within reach that may know of it.
	 * @param entry what happened
	 * @param regions the regions that may know of it, empty for all
	 * @return the identity of the notice
	 */
	long send(SuspectEntry entry, Set<Region> regions) {
		long id = this.nextId++;
		Set<VmName> peers = new HashSet<>();
		long withinMs = this.published.exchange().unreachableMs();
		for (Member member : this.members.all()) {
			if (this.members.isHeard(member, withinMs) && this.published.mayKnow(member.vm(), regions)) {
				peers.add(member.vm());
				this.outbox.send(member.vm(), new SuspectNotice(id, entry));
			}
		}
		long deadline = this.clock.millis() + this.published.exchange().noticeWaitMs();
		this.pending.put(id, new Pending(entry.fingerprint(), entry.trialMs() > 0, peers, deadline));
		return id;
	}

	void acknowledged(VmName peer, long id) {
		Pending notice = this.pending.get(id);
		if (notice != null) {
			notice.awaited().remove(peer);
		}
	}

	/**
	 * Tells whether nobody needs to wait for a notice. The notice of a trial is not
	 * settled while a trial that takes precedence runs elsewhere.
	 * @param id the notice
	 * @return {@code true} if it is settled or not known
	 */
	boolean isSettled(long id) {
		Pending notice = this.pending.get(id);
		if (notice == null) {
			return true;
		}
		if (notice.trial() && this.suspects.isTrialElsewhere(notice.fingerprint())) {
			return false;
		}
		return notice.awaited().isEmpty() || this.clock.millis() >= notice.deadline();
	}

	void expire() {
		long now = this.clock.millis();
		this.pending.values().removeIf((notice) -> now - notice.deadline() > KEEP_MS);
	}

	/**
	 * A notice that was sent.
	 *
	 * @param fingerprint the request
	 * @param trial whether it announces a trial
	 * @param awaited the peers that did not acknowledge it yet; shrinks
	 * @param deadline when to wait no longer, in monotonic milliseconds
	 */
	private record Pending(String fingerprint, boolean trial, Set<VmName> awaited, long deadline) {

	}

}
