package org.lovagevale.core.roster;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.fleet.RendezvousHash;

/**
 * The known entry VMs of other regions, a few for each region, to which requests can be
 * relayed.
 *
 * <p>
 * Invariants: there are at most {@link #MAX_PER_REGION} contacts of a region; a contact
 * that was not confirmed for {@link #CONFIRMATION_TIMEOUT_MS} is not used. A contact is
 * confirmed by a later heartbeat of its process or by a response from it. Not
 * thread-safe.
 */
public final class RemoteContacts {

	/**
	 * Maximum number of contacts per region. It is high enough that one of them survives
	 * the loss of a failure domain.
	 */
	public static final int MAX_PER_REGION = 4;

	/**
	 * Time without confirmation after which a contact is presumed to be gone, in
	 * milliseconds.
	 */
	public static final long CONFIRMATION_TIMEOUT_MS = 10_000;

	/** Time for which a contact is not used after a failure, in milliseconds. */
	public static final long FAILURE_PAUSE_MS = 3_000;

	private final Clock clock;

	private final VmName self;

	private final Region ownRegion;

	private final Map<VmName, Contact> contacts = new HashMap<>();

	/**
	 * Creates an empty collection.
	 * @param clock the clock
	 * @param self the VM of this process
	 * @param ownRegion the region of this process
	 */
	public RemoteContacts(Clock clock, VmName self, Region ownRegion) {
		this.clock = clock;
		this.self = self;
		this.ownRegion = ownRegion;
	}

	/**
	 * Updates the contacts with a member entry received from another process.
	 * @param member the entry VM
	 */
	public void update(RosterMember member) {
		if (member.region().equals(this.ownRegion)) {
			return;
		}
		if (member.phase() != RosterPhase.SERVING) {
			this.contacts.remove(member.vm());
			return;
		}
		long now = this.clock.millis();
		Contact known = this.contacts.get(member.vm());
		if (known != null) {
			if (member.isNewerThan(known.member)) {
				boolean restarted = !member.incarnation().equals(known.member.incarnation());
				this.contacts.put(member.vm(),
						new Contact(member, now, restarted ? Long.MIN_VALUE : known.pausedUntil));
			}
			return;
		}
		this.contacts.values().removeIf((contact) -> !contact.isFresh(now));
		long inRegion = this.contacts.values()
			.stream()
			.filter((contact) -> contact.member.region().equals(member.region()))
			.count();
		if (inRegion < MAX_PER_REGION) {
			this.contacts.put(member.vm(), new Contact(member, now, Long.MIN_VALUE));
		}
	}

	/**
	 * Records a response of an entry VM, which confirms the contact.
	 * @param vm the entry VM
	 */
	public void recordResponse(VmName vm) {
		Contact known = this.contacts.get(vm);
		if (known != null) {
			this.contacts.put(vm, new Contact(known.member, this.clock.millis(), Long.MIN_VALUE));
		}
	}

	/**
	 * Records that an entry VM was unreachable or the connection to it was lost.
	 * @param vm the entry VM
	 */
	public void recordFailure(VmName vm) {
		Contact known = this.contacts.get(vm);
		if (known != null) {
			this.contacts.put(vm, new Contact(known.member, known.confirmedAt, this.clock.millis() + FAILURE_PAUSE_MS));
		}
	}

	/**
	 * Returns the contact on a VM.
	 * @param vm the VM
	 * @return the entry VM, or {@code null} if it is not known
	 */
	public @Nullable RosterMember find(VmName vm) {
		Contact known = this.contacts.get(vm);
		return (known != null) ? known.member : null;
	}

	/**
	 * Returns the contacts that may be used now.
	 * @return the entry VMs
	 */
	public Collection<RosterMember> usable() {
		long now = this.clock.millis();
		return this.contacts.values()
			.stream()
			.filter((contact) -> contact.isFresh(now) && now >= contact.pausedUntil)
			.map((contact) -> contact.member)
			.toList();
	}

	/**
	 * Returns the regions that have a usable contact.
	 * @return the regions
	 */
	public Set<Region> regions() {
		Set<Region> regions = new HashSet<>();
		usable().forEach((member) -> regions.add(member.region()));
		return regions;
	}

	/**
	 * Returns the contact that this process uses for a region. The contact stays the same
	 * as long as it is usable, so that few connections are needed.
	 * @param region the region
	 * @return the entry VM, or {@code null} if no contact of the region is usable
	 */
	public @Nullable RosterMember contactIn(Region region) {
		return usable().stream()
			.filter((member) -> member.region().equals(region))
			.min(Comparator.comparingLong((member) -> RendezvousHash.score(this.self.value(), member.vm().value())))
			.orElse(null);
	}

	/**
	 * An entry VM of another region with the state of its confirmation.
	 *
	 * @param member the entry VM
	 * @param confirmedAt the monotonic time of its last confirmation, in milliseconds
	 * @param pausedUntil the monotonic time until which it is not used, in milliseconds
	 */
	private record Contact(RosterMember member, long confirmedAt, long pausedUntil) {

		private boolean isFresh(long now) {
			return now - this.confirmedAt < CONFIRMATION_TIMEOUT_MS;
		}

	}

}
