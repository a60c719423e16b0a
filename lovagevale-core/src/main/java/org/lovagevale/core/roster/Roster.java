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
import org.lovagevale.core.fleet.Rendezvous;

/**
 * The entry processes that this process knows, and the duties that follow from it.
 *
 * <p>
 * Duties fall to a few hubs of each region, the most capable VMs, which hear all others.
 * A process hears the hubs itself and learns of the rest by their summaries, so that the
 * messages of a process do not grow with the region.
 *
 * <p>
 * Every process computes duties for itself; two may disagree for
 * {@link #HEARTBEAT_TIMEOUT_MS} after a change, and for as long as they cannot reach each
 * other. What must not be done twice therefore also needs {@link #isSettledMajority()}.
 * Not thread-safe.
 */
public final class Roster {

	/** A member counts as alive this long after it was heard, in milliseconds. */
	public static final long HEARTBEAT_TIMEOUT_MS = 1_300;

	/** Enough hubs that their loss together is rare. */
	public static final int MAX_HUBS = 4;

	/** A member counts as alive this long after a hub named it, in milliseconds. */
	public static final long SUMMARY_TIMEOUT_MS = 2_600;

	/** Duties are computed again after this time at the latest, in milliseconds. */
	private static final long DUTY_CACHE_MS = 50;

	/** A VM with less than this share of the largest capacity is no hub. */
	private static final double MIN_HUB_CAPACITY_SHARE = 0.5;

	/** A member that was not heard this long does not count for majorities, in ms. */
	public static final long MAJORITY_WINDOW_MS = 12_000;

	/** A member that was not heard this long is forgotten, in milliseconds. */
	public static final long FORGET_MS = 60_000;

	/**
	 * Time without a change after which the former owner of a duty has stopped, in ms.
	 */
	public static final long SETTLED_MS = 1_500;

	/** Far in the past, yet safe to subtract from any time. */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Clock clock;

	private final Map<VmName, KnownMember> members = new HashMap<>();

	private RosterMember self;

	private Set<VmName> previousServing = Set.of();

	private long servingChangedAt;

	private final Map<ServiceName, RosterMember> dispatchers = new HashMap<>();

	private List<RosterMember> hubs = List.of();

	private boolean majority;

	private long dutiesComputedAt = Long.MIN_VALUE / 2;

	/**
	 * Creates a roster that knows only this process.
	 * @param clock the clock
	 * @param self this process
	 */
	public Roster(Clock clock, RosterMember self) {
		this.clock = clock;
		this.self = self;
		this.servingChangedAt = clock.millis();
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
	public void enterPhase(RosterPhase phase) {
		this.self = this.self.withBeat(this.self.beat() + 1, phase);
		invalidateDuties();
	}

	/**
	 * Increases the beat of this process.
	 * @return this process with the new beat
	 */
	public RosterMember nextBeat() {
		this.self = this.self.withBeat(this.self.beat() + 1, this.self.phase());
		return this.self;
	}

	/**
	 * Takes what a member told of itself.
	 * @param member the member
	 * @return the run of the process that this one replaces, or {@code null}
	 */
	public @Nullable RosterMember recordHeartbeat(RosterMember member) {
		if (member.vm().equals(this.self.vm())) {
			return null;
		}
		KnownMember known = this.members.get(member.vm());
		if (known != null && known.member().beat() > 0 && !member.isNewerThan(known.member())) {
			return null;
		}
		this.members.put(member.vm(), new KnownMember(member, this.clock.millis(), true, NEVER));
		if (known == null || !isAlive(known, this.clock.millis()) || known.member().phase() != member.phase()) {
			invalidateDuties();
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
	public void addKnown(RosterMember member) {
		if (member.vm().equals(this.self.vm())) {
			return;
		}
		this.members.putIfAbsent(member.vm(),
				new KnownMember(member.withBeat(0, member.phase()), this.clock.millis(), false, NEVER));
	}

	/**
	 * Takes the summary of a hub, which hears all processes of the region.
	 * @param serving the VMs that serve
	 * @return {@code true} if some of them are not known here
	 */
	public boolean recordHubSummary(Set<VmName> serving) {
		long now = this.clock.millis();
		boolean unknown = false;
		for (VmName vm : serving) {
			KnownMember known = this.members.get(vm);
			if (known == null) {
				unknown |= !vm.equals(this.self.vm());
			}
			else if (!known.heardDirectly() || !isAlive(known, now)) {
				RosterMember member = known.member().withBeat(known.member().beat(), RosterPhase.SERVING);
				this.members.put(vm, new KnownMember(member, known.heardAt(), false, now));
			}
		}
		this.members.replaceAll((vm, heard) -> serving.contains(vm) ? heard
				: new KnownMember(heard.member(), heard.heardAt(), heard.heardDirectly(), NEVER));
		invalidateDuties();
		return unknown;
	}

	/**
	 * Notes that the connection to a member was refused or lost.
	 * @param vm the VM of the member
	 */
	public void recordConnectionLost(VmName vm) {
		KnownMember known = this.members.get(vm);
		if (known != null) {
			this.members.put(vm, new KnownMember(known.member(), known.heardAt(), false, NEVER));
			invalidateDuties();
		}
	}

	/**
	 * Returns all known members but this one.
	 * @return the members
	 */
	public Collection<RosterMember> known() {
		long now = this.clock.millis();
		this.members.values().removeIf((heard) -> now - heard.lastSeenAt() > FORGET_MS);
		return this.members.values().stream().map(KnownMember::member).toList();
	}

	/**
	 * Returns a member.
	 * @param vm its VM
	 * @return the member, or {@code null} if it is not known
	 */
	public @Nullable RosterMember find(VmName vm) {
		KnownMember known = this.members.get(vm);
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
		KnownMember known = this.members.get(vm);
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
		for (KnownMember heard : this.members.values()) {
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
		return this.dispatchers.computeIfAbsent(service, (name) -> lowestScored("slots " + name, this.hubs));
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
	public Set<RosterMember> heartbeatTargets() {
		long now = this.clock.millis();
		Set<RosterMember> listeners = new LinkedHashSet<>();
		hubs().stream().filter((hub) -> !hub.vm().equals(this.self.vm())).forEach(listeners::add);
		List<RosterMember> candidates = new ArrayList<>();
		for (KnownMember heard : this.members.values()) {
			if (!isLocal(heard)) {
				continue;
			}
			if (heard.heardDirectly() && now - heard.heardAt() < HEARTBEAT_TIMEOUT_MS) {
				listeners.add(heard.member());
			}
			else if (now - heard.lastSeenAt() < MAJORITY_WINDOW_MS) {
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
		return this.majority && this.clock.millis() - this.servingChangedAt >= SETTLED_MS;
	}

	private void invalidateDuties() {
		this.dutiesComputedAt = Long.MIN_VALUE / 2;
		recordServingChange();
	}

	private void refreshDuties() {
		long now = this.clock.millis();
		if (now - this.dutiesComputedAt < DUTY_CACHE_MS && now >= this.dutiesComputedAt) {
			return;
		}
		this.dutiesComputedAt = now;
		this.dispatchers.clear();
		this.hubs = mostCapable(serving());
		recordServingChange();
		long known = 1 + this.members.values()
			.stream()
			.filter(this::isLocal)
			.filter((heard) -> heard.member().phase() != RosterPhase.LEAVING)
			.filter((heard) -> now - heard.lastSeenAt() < MAJORITY_WINDOW_MS)
			.count();
		this.majority = alive().size() * 2 > known;
	}

	private static List<RosterMember> mostCapable(List<RosterMember> members) {
		int largest = members.stream().mapToInt(RosterMember::capacity).max().orElse(0);
		return members.stream()
			.filter((member) -> member.capacity() >= largest * MIN_HUB_CAPACITY_SHARE)
			.sorted(byScore("hub"))
			.limit(MAX_HUBS)
			.toList();
	}

	private void recordServingChange() {
		Set<VmName> now = new HashSet<>();
		serving().forEach((member) -> now.add(member.vm()));
		if (!now.equals(this.previousServing)) {
			this.previousServing = now;
			this.servingChangedAt = this.clock.millis();
		}
	}

	private boolean isLocal(KnownMember heard) {
		return heard.member().region().equals(this.self.region());
	}

	private static boolean isAlive(KnownMember heard, long now) {
		return heard.heardDirectly() && now - heard.heardAt() < HEARTBEAT_TIMEOUT_MS
				|| now - heard.namedByHubAt() < SUMMARY_TIMEOUT_MS;
	}

	private RosterMember lowestScored(String duty, List<RosterMember> candidates) {
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
	 * @param heardAt the monotonic time at which it was heard or first told of, in
	 * milliseconds
	 * @param heardDirectly whether it was heard itself and its connection was not lost
	 * since
	 * @param namedByHubAt the monotonic time at which a hub named it, in milliseconds
	 */
	private record KnownMember(RosterMember member, long heardAt, boolean heardDirectly, long namedByHubAt) {

		private long lastSeenAt() {
			return Math.max(this.heardAt, this.namedByHubAt);
		}

	}

}
