package org.lovagevale.core.roster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;

/**
 * The known entry processes and the duties that are assigned to them.
 *
 * <p>
 * Duties, such as granting the slots of a service, are assigned to a few hubs of each
 * region, the VMs with the highest capacity, which receive the heartbeats of all others.
 * A process receives the heartbeats of the hubs and learns about the other members from
 * the summaries of the hubs, so that the number of messages of a process does not grow
 * with the region.
 *
 * <p>
 * Every process computes the duties on its own; two processes may disagree for
 * {@link #HEARTBEAT_TIMEOUT_MS} after a change, and for as long as they cannot reach each
 * other. Duties that must not be done twice therefore also require
 * {@link #isSettledMajority()}. Not thread-safe.
 */
public final class Roster {

	/** Time for which a member counts as alive after a heartbeat, in milliseconds. */
	public static final long HEARTBEAT_TIMEOUT_MS = 1_300;

	/** Maximum number of hubs; enough that losing all of them at once is rare. */
	public static final int MAX_HUBS = 4;

	/**
	 * Time for which a member counts as alive after the summary of a hub listed it, in
	 * milliseconds.
	 */
	public static final long SUMMARY_TIMEOUT_MS = 2_600;

	/** Minimum capacity of a hub, as a share of the largest capacity. */
	private static final double MIN_HUB_CAPACITY_SHARE = 0.5;

	/**
	 * Time since the last heartbeat or listing by a hub after which a member no longer
	 * counts for majorities, in milliseconds.
	 */
	public static final long MAJORITY_WINDOW_MS = 12_000;

	/**
	 * Time since the last heartbeat or listing by a hub after which a member is removed,
	 * in milliseconds.
	 */
	public static final long FORGET_MS = 60_000;

	/**
	 * Time without a change of the serving members after which the former owner of a duty
	 * has stopped doing it, in milliseconds.
	 */
	public static final long SETTLED_MS = 1_500;

	/** A time far in the past that can be subtracted from any time without overflow. */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Clock clock;

	private final Map<VmName, KnownMember> members = new HashMap<>();

	private RosterMember self;

	private Set<VmName> previousServing = Set.of();

	private long servingChangedAt;

	private final Map<ServiceName, RosterMember> dispatchers = new HashMap<>();

	private List<RosterMember> hubs = List.of();

	private boolean hasMajority;

	/**
	 * Monotonic time at which the passage of time alone changes the duties, in
	 * milliseconds.
	 */
	private long dutiesValidUntil = NEVER;

	private final DutyScores hubScores = new DutyScores("hub");

	private final DutyScores readerScores = new DutyScores("reader");

	private final DutyScores limiterScores = new DutyScores("account limits");

	private final Map<ServiceName, DutyScores> dispatcherScores = new HashMap<>();

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
	 * @return this process with its current heartbeat counter and phase
	 */
	public RosterMember self() {
		return this.self;
	}

	/**
	 * Changes the phase of this process and increases its heartbeat counter.
	 * @param phase the new phase
	 */
	public void enterPhase(RosterPhase phase) {
		this.self = this.self.withBeat(this.self.beat() + 1, phase);
		invalidateDuties();
	}

	/**
	 * Increases the heartbeat counter of this process.
	 * @return this process with the new counter
	 */
	public RosterMember nextBeat() {
		this.self = this.self.withBeat(this.self.beat() + 1, this.self.phase());
		return this.self;
	}

	/**
	 * Records a heartbeat. An outdated heartbeat is ignored.
	 * @param member the member that sent it
	 * @return the former run of the process that this run replaces, or {@code null} if
	 * there is none
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
	 * Adds a member that another process knows. It does not count as alive until it sends
	 * a heartbeat or a hub lists it.
	 * @param member the member
	 */
	public void addKnown(RosterMember member) {
		if (member.vm().equals(this.self.vm()) || this.members.containsKey(member.vm())) {
			return;
		}
		this.members.put(member.vm(),
				new KnownMember(member.withBeat(0, member.phase()), this.clock.millis(), false, NEVER));
		invalidateDuties();
	}

	/**
	 * Records the summary of a hub, which receives the heartbeats of all processes of the
	 * region.
	 * @param serving the VMs that serve according to the hub
	 * @return {@code true} if some of them are unknown to this process
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
		this.members.replaceAll((vm, known) -> serving.contains(vm) ? known
				: new KnownMember(known.member(), known.heardAt(), known.heardDirectly(), NEVER));
		invalidateDuties();
		return unknown;
	}

	/**
	 * Records that the connection to a member was refused or lost. The member does not
	 * count as alive until a new heartbeat or summary.
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
	 * Returns all known members except this process, and removes those without a
	 * heartbeat or listing by a hub for {@link #FORGET_MS}.
	 * @return the members
	 */
	public Collection<RosterMember> known() {
		long now = this.clock.millis();
		this.members.values().removeIf((known) -> now - known.lastSeenAt() > FORGET_MS);
		return this.members.values().stream().map(KnownMember::member).toList();
	}

	/**
	 * Returns the member on a VM.
	 * @param vm the VM
	 * @return the member, or {@code null} if none is known
	 */
	public @Nullable RosterMember find(VmName vm) {
		KnownMember known = this.members.get(vm);
		return (known != null) ? known.member() : null;
	}

	/**
	 * Tells whether a member is alive.
	 * @param vm the VM of the member
	 * @return {@code true} if it is this process, or if it sent a heartbeat or was listed
	 * by a hub recently
	 */
	public boolean isAlive(VmName vm) {
		if (vm.equals(this.self.vm())) {
			return true;
		}
		KnownMember known = this.members.get(vm);
		return known != null && isAlive(known, this.clock.millis());
	}

	/**
	 * Returns the live members of this region, including this process.
	 * @return the members
	 */
	public List<RosterMember> alive() {
		long now = this.clock.millis();
		List<RosterMember> alive = new ArrayList<>();
		alive.add(this.self);
		for (KnownMember known : this.members.values()) {
			if (isLocal(known) && isAlive(known, now)) {
				alive.add(known.member());
			}
		}
		return alive;
	}

	/**
	 * Returns the live members of this region that serve requests.
	 * @return the members
	 */
	public List<RosterMember> serving() {
		return alive().stream().filter((member) -> member.phase() == RosterPhase.SERVING).toList();
	}

	/**
	 * Returns the entry VM that grants the slots of a service in this region.
	 * @param service the service
	 * @return the entry VM; this one if there is no hub
	 */
	public RosterMember dispatcher(ServiceName service) {
		refreshDuties();
		return this.dispatchers.computeIfAbsent(service, this::chooseDispatcher);
	}

	/**
	 * Returns the entry VM that limits the rates of client accounts in this region.
	 * @return the entry VM, or {@code null} if there is no hub
	 */
	public @Nullable RosterMember limiter() {
		refreshDuties();
		return this.hubs.stream().min(this.limiterScores.order()).orElse(null);
	}

	private RosterMember chooseDispatcher(ServiceName service) {
		DutyScores scores = this.dispatcherScores.computeIfAbsent(service, (name) -> new DutyScores("slots " + name));
		return this.hubs.stream().min(scores.order()).orElse(this.self);
	}

	/**
	 * Returns the hubs of this region, which receive the heartbeats of all other members.
	 * @return the hubs, beginning with the one that sends the summaries; empty if no
	 * member serves
	 */
	public List<RosterMember> hubs() {
		refreshDuties();
		return this.hubs;
	}

	/**
	 * Returns the members that this process sends its heartbeats to: hubs, members that
	 * may become hubs, and members that send heartbeats to this process.
	 * @return the members
	 */
	public Collection<RosterMember> heartbeatTargets() {
		long now = this.clock.millis();
		Map<VmName, RosterMember> targets = new LinkedHashMap<>();
		for (RosterMember hub : hubs()) {
			if (!hub.vm().equals(this.self.vm())) {
				targets.put(hub.vm(), hub);
			}
		}
		List<RosterMember> candidates = new ArrayList<>();
		for (KnownMember known : this.members.values()) {
			if (!isLocal(known)) {
				continue;
			}
			if (known.heardDirectly() && now - known.heardAt() < HEARTBEAT_TIMEOUT_MS) {
				targets.put(known.member().vm(), known.member());
			}
			else if (now - known.lastSeenAt() < MAJORITY_WINDOW_MS) {
				candidates.add(known.member());
			}
		}
		mostCapable(candidates).forEach((member) -> targets.putIfAbsent(member.vm(), member));
		return targets.values();
	}

	/**
	 * Returns the rank of this process in the order of potential readers of the platform.
	 * @return the rank, 0 being first
	 */
	public int readerRank() {
		List<RosterMember> order = new ArrayList<>(alive());
		order.removeIf((member) -> member.phase() == RosterPhase.LEAVING);
		Set<VmName> hubVms = new HashSet<>();
		hubs().forEach((hub) -> hubVms.add(hub.vm()));
		order.sort(Comparator.comparing((RosterMember member) -> !hubVms.contains(member.vm()))
			.thenComparing(this.readerScores.order()));
		return Math.max(0, order.indexOf(this.self));
	}

	/**
	 * Tells whether this process sees a majority of the known members and the serving
	 * members have not changed for {@link #SETTLED_MS}, so that no other process does its
	 * duties.
	 * @return {@code true} if both conditions hold
	 */
	public boolean isSettledMajority() {
		refreshDuties();
		return this.hasMajority && this.clock.millis() - this.servingChangedAt >= SETTLED_MS;
	}

	/**
	 * Tells whether this process sees a majority of the known members of its region.
	 * @return {@code false} if it may be cut off from the others
	 */
	public boolean hasMajority() {
		refreshDuties();
		return this.hasMajority;
	}

	private void invalidateDuties() {
		this.dutiesValidUntil = NEVER;
		recordServingChange();
	}

	private void refreshDuties() {
		long now = this.clock.millis();
		if (now < this.dutiesValidUntil) {
			return;
		}
		this.dispatchers.clear();
		this.hubs = mostCapable(serving());
		recordServingChange();
		int alive = 1;
		int counted = 1;
		long validUntil = Long.MAX_VALUE;
		for (KnownMember known : this.members.values()) {
			if (!isLocal(known)) {
				continue;
			}
			if (isAlive(known, now)) {
				alive++;
				validUntil = Math.min(validUntil, known.aliveUntil());
			}
			boolean recent = now - known.lastSeenAt() < MAJORITY_WINDOW_MS;
			if (recent && known.member().phase() != RosterPhase.LEAVING) {
				counted++;
				validUntil = Math.min(validUntil, known.lastSeenAt() + MAJORITY_WINDOW_MS);
			}
		}
		this.hasMajority = alive * 2 > counted;
		this.dutiesValidUntil = validUntil;
	}

	private List<RosterMember> mostCapable(List<RosterMember> members) {
		int largest = members.stream().mapToInt(RosterMember::capacity).max().orElse(0);
		return members.stream()
			.filter((member) -> member.capacity() >= largest * MIN_HUB_CAPACITY_SHARE)
			.sorted(this.hubScores.order())
			.limit(MAX_HUBS)
			.toList();
	}

	private void recordServingChange() {
		Set<VmName> serving = new HashSet<>();
		serving().forEach((member) -> serving.add(member.vm()));
		if (!serving.equals(this.previousServing)) {
			this.previousServing = serving;
			this.servingChangedAt = this.clock.millis();
		}
	}

	private boolean isLocal(KnownMember known) {
		return known.member().region().equals(this.self.region());
	}

	private static boolean isAlive(KnownMember known, long now) {
		return now < known.aliveUntil();
	}

	/**
	 * A known member and the times of its last heartbeat and listing by a hub.
	 *
	 * @param member the member
	 * @param heardAt the monotonic time of its last heartbeat, or at which it was added
	 * without one, in milliseconds
	 * @param heardDirectly whether it sent a heartbeat itself and its connection was not
	 * lost since
	 * @param listedByHubAt the monotonic time of the last summary that listed it, in
	 * milliseconds
	 */
	private record KnownMember(RosterMember member, long heardAt, boolean heardDirectly, long listedByHubAt) {

		private long lastSeenAt() {
			return Math.max(this.heardAt, this.listedByHubAt);
		}

		private long aliveUntil() {
			long listedUntil = this.listedByHubAt + SUMMARY_TIMEOUT_MS;
			return this.heardDirectly ? Math.max(this.heardAt + HEARTBEAT_TIMEOUT_MS, listedUntil) : listedUntil;
		}

	}

}
