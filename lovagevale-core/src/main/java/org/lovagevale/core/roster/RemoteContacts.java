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
 * A few entry VMs of each other region, to which requests can be passed on.
 *
 * <p>
 * Invariants: there are at most {@link #MOST_PER_REGION} contacts of a region; one that
 * was not confirmed for {@link #FRESH_MS} is not used. A contact is confirmed by a later
 * beat of its process or by a response of it. Not thread-safe.
 */
public final class RemoteContacts {

	/** Enough that one of them lives after the loss of a failure domain. */
	public static final int MOST_PER_REGION = 4;

	/**
	 * A contact that was not confirmed for this long is probably gone, in milliseconds.
	 */
	public static final long FRESH_MS = 10_000;

	/** A contact that failed is left alone for this long, in milliseconds. */
	public static final long FAILED_MS = 3_000;

	private final Clock clock;

	private final VmName self;

	private final Region home;

	private final Map<VmName, Contact> contacts = new HashMap<>();

	/**
	 * Creates an empty collection.
	 * @param clock the clock
	 * @param self the VM of this process
	 * @param home the region of this process
	 */
	public RemoteContacts(Clock clock, VmName self, Region home) {
		this.clock = clock;
		this.self = self;
		this.home = home;
	}

	/**
	 * Takes what another process tells of an entry VM.
	 * @param member the entry VM
	 */
	public void told(RosterMember member) {
		if (member.region().equals(this.home)) {
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
						new Contact(member, now, restarted ? Long.MIN_VALUE : known.failedUntil));
			}
			return;
		}
		this.contacts.values().removeIf((contact) -> !contact.isFresh(now));
		long inRegion = this.contacts.values()
			.stream()
			.filter((contact) -> contact.member.region().equals(member.region()))
			.count();
		if (inRegion < MOST_PER_REGION) {
			this.contacts.put(member.vm(), new Contact(member, now, Long.MIN_VALUE));
		}
	}

	/**
	 * Notes that an entry VM responded.
	 * @param vm the entry VM
	 */
	public void responded(VmName vm) {
		Contact known = this.contacts.get(vm);
		if (known != null) {
			this.contacts.put(vm, new Contact(known.member, this.clock.millis(), Long.MIN_VALUE));
		}
	}

	/**
	 * Notes that an entry VM cannot be reached or broke off.
	 * @param vm the entry VM
	 */
	public void failed(VmName vm) {
		Contact known = this.contacts.get(vm);
		if (known != null) {
			this.contacts.put(vm, new Contact(known.member, known.confirmedAt, this.clock.millis() + FAILED_MS));
		}
	}

	/**
	 * Returns the contacts that may be used.
	 * @return the entry VMs
	 */
	public Collection<RosterMember> usable() {
		long now = this.clock.millis();
		return this.contacts.values()
			.stream()
			.filter((contact) -> contact.isFresh(now) && now >= contact.failedUntil)
			.map((contact) -> contact.member)
			.toList();
	}

	/**
	 * Returns the regions that can be reached.
	 * @return the regions
	 */
	public Set<Region> regions() {
		Set<Region> regions = new HashSet<>();
		usable().forEach((member) -> regions.add(member.region()));
		return regions;
	}

	/**
	 * Finds the contact of a region that this process uses. It is the same as long as it
	 * may be used, so that few connections are needed.
	 * @param region the region
	 * @return the entry VM, or {@code null} if there is none
	 */
	public @Nullable RosterMember in(Region region) {
		return usable().stream()
			.filter((member) -> member.region().equals(region))
			.min(Comparator.comparingLong((member) -> RendezvousHash.score(this.self.value(), member.vm().value())))
			.orElse(null);
	}

	/**
	 * A contact.
	 *
	 * @param member the entry VM
	 * @param confirmedAt the monotonic time of its last sign of life, in milliseconds
	 * @param failedUntil the monotonic time until which it is left alone, in milliseconds
	 */
	private record Contact(RosterMember member, long confirmedAt, long failedUntil) {

		private boolean isFresh(long now) {
			return now - this.confirmedAt < FRESH_MS;
		}

	}

}
