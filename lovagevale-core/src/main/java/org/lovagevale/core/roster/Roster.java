package org.lovagevale.core.roster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.fleet.RendezvousHash;

/**
 * The entry processes that this process knows, and the duties that follow from it.
 *
 * <p>
 * Duties fall to a few hubs of each region, the most capable VMs, which hear all others.
 * A process hears the hubs itself and learns of the rest by their summaries, so that the
 * messages of a process do not grow with the region.
 *
 * <p>
 * Every process computes duties for itself; two may disagree for {@link #ALIVE_MS} after
 * a change, and for as long as they cannot reach each other. What must not be done twice
 * therefore also needs {@link #isSettledMajority()}. Not thread-safe.
 */
public final class Roster {

	/** A member counts as alive this long after it was heard, in milliseconds. */
	public static final long ALIVE_MS = 1_300;

	/** Enough hubs that their loss together is rare. */
	public static final int HUBS = 4;

	/** A member counts as alive this long after a hub named it, in milliseconds. */
	public static final long VOUCHED_MS = 2_600;

	/** Duties are computed again after this time at the latest, in milliseconds. */
	private static final long DUTY_CACHE_MS = 50;

	/** A VM with less than this share of the largest capacity is no hub. */
	private static final double LEAST_HUB_SHARE = 0.5;

	/** A member that was not heard this long does not count for majorities, in ms. */
	public static final long KNOWN_MS = 12_000;

	/** A member that was not heard this long is forgotten, in milliseconds. */
	public static final long FORGET_MS = 60_000;

	/**
	 * Time without a change after which the former owner of a duty has stopped, in ms.
	 */
	public static final long SETTLED_MS = 1_500;

	/** Far in the past, yet safe to subtract from any time. */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Clock clock;

	private final Map<VmName, Heard> members = new HashMap<>();

	private RosterMember self;

	private Set<VmName> aliveBefore = Set.of();

	private long changedAt;

	private final Map<ServiceName, RosterMember> dispatchers = new HashMap<>();

	private List<RosterMember> hubs = List.of();

	private boolean settled;

	private long dutiesAt = Long.MIN_VALUE / 2;

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
		forgetDuties();
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
		this.members.put(member.vm(), new Heard(member, this.clock.millis(), true, NEVER));
		if (known == null || !isAlive(known, this.clock.millis()) || known.member().phase() != member.phase()) {
			forgetDuties();
		}
		if (known == null || known.member().incarnation().equals(member.incarnation())) {
			return null;
		}
		return known.member();
	}

	/**
	 * Takes what another process told of a member; it is not alive before it is heard or
	 * vouched for.
	 * @param member the member
	 */
	public void told(RosterMember member) {
		if (member.vm().equals(this.self.vm())) {
			return;
		}
		this.members.putIfAbsent(member.vm(),
				new Heard(member.withBeat(0, member.phase()), this.clock.millis(), false, NEVER));
	}

	/**
	 * Takes the summary of a hub, which hears all processes of the region.
	 * @param serving the VMs that serve
	 * @return {@code true} if some of them are not known here
	 */
	public boolean vouched(Set<VmName> serving) {
		long now = this.clock.millis();
		boolean unknown = false;
		for (VmName vm : serving) {
			Heard known = this.members.get(vm);
			if (known == null) {
				unknown |= !vm.equals(this.self.vm());
			}
			else if (!known.direct() || !isAlive(known, now)) {
				RosterMember member = known.member().withBeat(known.member().beat(), RosterPhase.SERVING);
				this.members.put(vm, new Heard(member, known.at(), false, now));
			}
		}
		this.members.replaceAll((vm, heard) -> serving.contains(vm) ? heard
				: new Heard(heard.member(), heard.at(), heard.direct(), NEVER));
		forgetDuties();
		return unknown;
	}

	/**
	 * Notes that the connection to a member was refused or lost.
	 * @param vm the VM of the member
	 */
	public void lost(VmName vm) {
		Heard known = this.members.get(vm);
		if (known != null) {
			this.members.put(vm, new Heard(known.member(), known.at(), false, NEVER));
			forgetDuties();
		}
	}

	/**
	 * Returns all known members but this one.
	 * @return the members
	 */
	public Collection<RosterMember> known() {
		long now = this.clock.millis();
		this.members.values().removeIf((heard) -> now - heard.lastSign() > FORGET_MS);
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
	 * Returns the entry VM that gives out the slots of a service in this region.
	 * @param service the service
	 * @return the entry VM; this one if no other serves
	 */
	public RosterMember dispatcher(ServiceName service) {
		refreshDuties();
		return this.dispatchers.computeIfAbsent(service, (name) -> first("slots " + name, this.hubs));
	}

	/**
	 * Returns the entry VMs of this region that hear all others.
	 * @return the hubs, the one that tells the others first; empty if none serves
	 */
	public List<RosterMember> hubs() {
		refreshDuties();
		return this.hubs;
	}

	/**
	 * Returns the members to which this process tells that it is alive: hubs, those that
	 * may be hubs, and those that tell this process themselves.
	 * @return the members
	 */
	public Set<RosterMember> listeners() {
		long now = this.clock.millis();
		Set<RosterMember> listeners = new LinkedHashSet<>();
		hubs().stream().filter((hub) -> !hub.vm().equals(this.self.vm())).forEach(listeners::add);
		List<RosterMember> candidates = new ArrayList<>();
		for (Heard heard : this.members.values()) {
			if (!isLocal(heard)) {
				continue;
			}
			if (heard.direct() && now - heard.at() < ALIVE_MS) {
				listeners.add(heard.member());
			}
			else if (now - heard.lastSign() < KNOWN_MS) {
				candidates.add(heard.member());
			}
		}
		mostCapable(candidates).forEach(listeners::add);
		return listeners;
	}

	/**
	 * Returns the place of this process in the order of those that read the platform.
	 * @return 0 for the first
	 */
	public int readerRank() {
		List<RosterMember> order = new ArrayList<>(alive());
		order.removeIf((member) -> member.phase() == RosterPhase.LEAVING);
		Set<VmName> first = new HashSet<>();
		hubs().forEach((hub) -> first.add(hub.vm()));
		order.sort(Comparator.comparing((RosterMember member) -> !first.contains(member.vm()))
			.thenComparing(byScore("reader")));
		return Math.max(0, order.indexOf(this.self));
	}

	/**
	 * Tells whether this process sees a majority of the known members and no change has
	 * happened for {@link #SETTLED_MS}, so that no other process does its duties.
	 * @return {@code true} if so
	 */
	public boolean isSettledMajority() {
		refreshDuties();
		return this.settled && this.clock.millis() - this.changedAt >= SETTLED_MS;
	}

	private void forgetDuties() {
		this.dutiesAt = Long.MIN_VALUE / 2;
		noteChange();
	}

	private void refreshDuties() {
		long now = this.clock.millis();
		if (now - this.dutiesAt < DUTY_CACHE_MS && now >= this.dutiesAt) {
			return;
		}
		this.dutiesAt = now;
		this.dispatchers.clear();
		this.hubs = mostCapable(serving());
		noteChange();
		long known = 1 + this.members.values()
			.stream()
			.filter(this::isLocal)
			.filter((heard) -> heard.member().phase() != RosterPhase.LEAVING)
			.filter((heard) -> now - heard.lastSign() < KNOWN_MS)
			.count();
		this.settled = alive().size() * 2 > known;
	}

	private static List<RosterMember> mostCapable(List<RosterMember> members) {
		int largest = members.stream().mapToInt(RosterMember::capacity).max().orElse(0);
		return members.stream()
			.filter((member) -> member.capacity() >= largest * LEAST_HUB_SHARE)
			.sorted(byScore("hub"))
			.limit(HUBS)
			.toList();
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
		return heard.direct() && now - heard.at() < ALIVE_MS || now - heard.vouchedAt() < VOUCHED_MS;
	}

	private RosterMember first(String duty, List<RosterMember> candidates) {
		return candidates.stream().min(byScore(duty)).orElse(this.self);
	}

	private static Comparator<RosterMember> byScore(String duty) {
		return Comparator.comparingLong((RosterMember member) -> RendezvousHash.score(duty, member.vm().value()))
			.thenComparing(RosterMember::vm);
	}

	/**
	 * A member and when it was heard.
	 *
	 * @param member the member
	 * @param at the monotonic time at which it was heard or first told of, in
	 * milliseconds
	 * @param direct whether it was heard itself and its connection was not lost since
	 * @param vouchedAt the monotonic time at which a hub named it, in milliseconds
	 */
	private record Heard(RosterMember member, long at, boolean direct, long vouchedAt) {

		private long lastSign() {
			return Math.max(this.at, this.vouchedAt);
		}

	}

}
