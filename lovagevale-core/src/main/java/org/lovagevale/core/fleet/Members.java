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
 * The other entry processes, by gossip.
 *
 * <p>
 * A member counts as heard only at a time that is proven by this process's own heartbeat,
 * so that messages that waited during a pause do not make it look alive. Not thread-safe.
 */
final class Members {

	/** Members remembered at a time, several times the published fleet. */
	private static final int MAX_MEMBERS = 4_096;

	private final Clock clock;

	private final TreeMap<VmName, Member> members = new TreeMap<>();

	Members(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Merges what a peer says about a member.
	 * @param entry the entry
	 * @param writtenAfter a time before which the message was not written,
	 * {@link Heartbeat#NEVER} if not known
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
		else if (member.isNewer(incarnation, entry.beat())) {
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
