package org.lovagevale.core.fleet;

import java.util.Collection;
import java.util.Collections;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.message.MemberEntry;

/**
 * The other entry processes, as learned by gossip.
 *
 * <p>
 * The time at which a member was last heard from is derived from the heartbeat counter of
 * this process that the digest echoes, so that messages that queued up during a pause do
 * not make a member look reachable. Not thread-safe.
 */
final class Members {

	/** Maximum number of members, several times the number of published entry VMs. */
	private static final int MAX_MEMBERS = 4_096;

	private final Clock clock;

	private final TreeMap<VmName, Member> members = new TreeMap<>();

	Members(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Merges a member entry received from a peer.
	 * @param entry the entry
	 * @param writtenAfter a lower bound for the time at which the digest was written, in
	 * monotonic milliseconds, {@link Heartbeat#NEVER} if not known
	 * @throws IllegalArgumentException if the entry is malformed
	 */
	void merge(MemberEntry entry, long writtenAfter) {
		VmName vm = new VmName(entry.vm());
		Incarnation incarnation = Incarnation.parse(entry.incarnation());
		MemberPhase phase = MemberPhase.valueOf(entry.phase());
		Member member = this.members.get(vm);
		if (member == null) {
			add(vm, incarnation, phase, entry, writtenAfter);
		}
		else if (member.isOlderThan(incarnation, entry.beat())) {
			member.update(incarnation, phase, entry);
			member.recordHeard(writtenAfter);
		}
	}

	@Nullable Member find(VmName vm) {
		return this.members.get(vm);
	}

	Collection<Member> all() {
		return Collections.unmodifiableCollection(this.members.values());
	}

	boolean isReachableWithin(VmName vm, long withinMs) {
		Member member = this.members.get(vm);
		return member != null && isReachableWithin(member, withinMs);
	}

	/**
	 * Tells whether a member was heard from recently.
	 * @param member the member
	 * @param withinMs the maximum time since it was heard from, in milliseconds
	 * @return {@code true} if it was heard from within that time
	 */
	boolean isReachableWithin(Member member, long withinMs) {
		return this.clock.millis() - member.lastHeardAt() <= withinMs;
	}

	private void add(VmName vm, Incarnation incarnation, MemberPhase phase, MemberEntry entry, long writtenAfter) {
		if (this.members.size() >= MAX_MEMBERS) {
			return;
		}
		Member member = new Member(vm, incarnation, phase, entry);
		member.recordHeard(writtenAfter);
		this.members.put(vm, member);
	}

}
