package org.lovagevale.core.roster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.fleet.Rendezvous;

/**
 * The entry processes that this process knows, and the duties that follow from it.
 *
 * <p>
 * Every process computes duties for itself; two may disagree for {@link #ALIVE_MS} after
 * a change, and for as long as they cannot reach each other. What must not be done twice
 * therefore also needs {@link #isSettledMajority()}. Not thread-safe.
 */
public final class Roster {

	/** A member counts as alive this long after it was heard, in milliseconds. */
	public static final long ALIVE_MS = 1_300;

	/** A member that was not heard this long does not count for majorities, in ms. */
	public static final long KNOWN_MS = 12_000;

	/** A member that was not heard this long is forgotten, in milliseconds. */
	public static final long FORGET_MS = 60_000;

	/**
	 * Time without a change after which the former owner of a duty has stopped, in ms.
	 */
	public static final long SETTLED_MS = 1_500;

	private final Clock clock;

	private final Map<VmName, Heard> members = new HashMap<>();

	private RosterMember self;

	private Set<VmName> aliveBefore = Set.of();

	private long changedAt;

	/**
	 * Creates a roster that knows only this process.
	 * @param clock the clock
	 * @param self this process
	 */
	public Roster(Clock clock, RosterMember self) {
		this.clock = clock;
		this.self = self;
		this.changedAt = clock.millis();
	}

	/**
	 * Returns this process.
	 * @return this process with its present beat and phase
	 */
	public RosterMember self() {
		return this.self;
	}

	/**
	 * Changes the phase of this process.
	 * @param phase the phase
	 */
	public void enter(RosterPhase phase) {
		this.self = this.self.withBeat(this.self.beat() + 1, phase);
		noteChange();
	}

	/**
	 * Increases the beat of this process.
	 * @return this process with the new beat
	 */
	public RosterMember beat() {
		this.self = this.self.withBeat(this.self.beat() + 1, this.self.phase());
		return this.self;
	}

	/**
	 * Takes what a member told of itself.
	 * @param member the member
	 * @return the run of the process that this one replaces, or {@code null}
	 */
	public @Nullable RosterMember heard(RosterMember member) {
		if (member.vm().equals(this.self.vm())) {
			return null;
		}
		Heard known = this.members.get(member.vm());
		if (known != null && known.member().beat() > 0 && !member.isNewerThan(known.member())) {
			return null;
		}
		this.members.put(member.vm(), new Heard(member, this.clock.millis(), true));
		noteChange();
		if (known == null || known.member().incarnation().equals(member.incarnation())) {
			return null;
		}
		return known.member();
	}

	/**
	 * Takes what another process told of a member; it is not alive before it is heard.
	 * @param member the member
	 */
	public void told(RosterMember member) {
		if (!member.vm().equals(this.self.vm()) && !this.members.containsKey(member.vm())) {
			this.members.put(member.vm(), new Heard(member.withBeat(0, member.phase()), this.clock.millis(), false));
		}
	}

	/**
	 * Notes that the connection to a member was refused or lost.
	 * @param vm the VM of the member
	 */
	public void lost(VmName vm) {
		Heard known = this.members.get(vm);
		if (known != null) {
			this.members.put(vm, new Heard(known.member(), known.at(), false));
			noteChange();
		}
	}

	/**
	 * Returns all known members but this one.
	 * @return the members
	 */
	public Collection<RosterMember> known() {
		long now = this.clock.millis();
		this.members.values().removeIf((heard) -> now - heard.at() > FORGET_MS);
		return this.members.values().stream().map(Heard::member).toList();
	}

	/**
	 * Returns a member.
	 * @param vm its VM
	 * @return the member, or {@code null} if it is not known
	 */
	public @Nullable RosterMember find(VmName vm) {
		Heard known = this.members.get(vm);
		return (known != null) ? known.member() : null;
	}

	/**
	 * Tells whether a member of this region was heard lately.
	 * @param vm its VM
	 * @return {@code true} if it was
	 */
	public boolean isAlive(VmName vm) {
		if (vm.equals(this.self.vm())) {
			return true;
		}
		Heard known = this.members.get(vm);
		return known != null && isAlive(known, this.clock.millis());
	}

	/**
	 * Returns the live members of this region, this process included.
	 * @return the members
	 */
	public List<RosterMember> alive() {
		long now = this.clock.millis();
		List<RosterMember> alive = new ArrayList<>();
		alive.add(this.self);
		for (Heard heard : this.members.values()) {
			if (isLocal(heard) && isAlive(heard, now)) {
				alive.add(heard.member());
			}
		}
		return alive;
	}

	/**
	 * Returns the live members of this region that serve.
	 * @return the members
	 */
	public List<RosterMember> serving() {
		return alive().stream().filter((member) -> member.phase() == RosterPhase.SERVING).toList();
	}

	/**
	 * Returns the member that gives out the slots of a service.
	 * @param service the service
	 * @return the member; this process if no member serves
	 */
	public RosterMember dispatcher(ServiceName service) {
		return first("slots " + service, serving());
	}

	/**
	 * Returns the position of this process among those that read the platform.
	 * @return 0 for the first reader
	 */
	public int readerRank() {
		List<RosterMember> order = new ArrayList<>(alive());
		order.removeIf((member) -> member.phase() == RosterPhase.LEAVING);
		order.sort(byScore("reader"));
		return Math.max(0, order.indexOf(this.self));
	}

	/**
	 * Tells whether duties that must not be done twice may be done here.
	 * @return {@code true} if the live members did not change lately and are more than
	 * half of those known
	 */
	public boolean isSettledMajority() {
		long now = this.clock.millis();
		noteChange();
		long known = 1 + this.members.values()
			.stream()
			.filter(this::isLocal)
			.filter((heard) -> heard.member().phase() != RosterPhase.LEAVING)
			.filter((heard) -> now - heard.at() < KNOWN_MS)
			.count();
		return now - this.changedAt >= SETTLED_MS && alive().size() * 2 > known;
	}

	private void noteChange() {
		Set<VmName> now = new HashSet<>();
		serving().forEach((member) -> now.add(member.vm()));
		if (!now.equals(this.aliveBefore)) {
			this.aliveBefore = now;
			this.changedAt = this.clock.millis();
		}
	}

	private boolean isLocal(Heard heard) {
		return heard.member().region().equals(this.self.region());
	}

	private static boolean isAlive(Heard heard, long now) {
		return heard.direct() && now - heard.at() < ALIVE_MS;
	}

	private RosterMember first(String duty, List<RosterMember> candidates) {
		return candidates.stream().min(byScore(duty)).orElse(this.self);
	}

	private static Comparator<RosterMember> byScore(String duty) {
		return Comparator.comparingLong((RosterMember member) -> Rendezvous.score(duty, member.vm().value()))
			.thenComparing(RosterMember::vm);
	}

	/**
	 * A member and when it was heard.
	 *
	 * @param member the member
	 * @param at the monotonic time in milliseconds
	 * @param direct whether it was heard itself and its connection was not lost since
	 */
	private record Heard(RosterMember member, long at, boolean direct) {
	}

}
