package org.lovagevale.core.roster;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

class RemoteContactsTests {

	private static final Region EAST = new Region("east");

	private final ManualClock clock = new ManualClock(1_000, 1_000_000);

	private final RemoteContacts contacts = new RemoteContacts(this.clock, new VmName("self"), new Region("west"));

	private static RosterMember member(String vm, Region region, long beat, RosterPhase phase) {
		return new RosterMember(new VmName(vm), "127.0.0.1", 1, 2, new FailureDomain(region + "-1"), region, 100,
				new Incarnation(1, 1), beat, phase);
	}

	private static RosterMember member(String vm, long beat) {
		return member(vm, EAST, beat, RosterPhase.SERVING);
	}

	@Test
	void membersOfTheOwnRegionAreNoContacts() {
		this.contacts.told(member("a", new Region("west"), 1, RosterPhase.SERVING));
		assertThat(this.contacts.usable()).isEmpty();
	}

	@Test
	void contactStaysTheSameWhileItMayBeUsed() {
		for (int i = 0; i < 10; i++) {
			this.contacts.told(member("vm-" + i, 1));
		}
		assertThat(this.contacts.usable()).hasSize(RemoteContacts.MOST_PER_REGION);
		RosterMember first = this.contacts.in(EAST);
		assertThat(this.contacts.in(EAST)).isEqualTo(first);
		this.contacts.failed(first.vm());
		assertThat(this.contacts.in(EAST)).isNotNull().isNotEqualTo(first);
		this.clock.advance(RemoteContacts.FAILED_MS);
		assertThat(this.contacts.in(EAST)).isEqualTo(first);
	}

	@Test
	void sameBeatToldAgainDoesNotConfirmAContact() {
		this.contacts.told(member("a", 5));
		this.clock.advance(RemoteContacts.FRESH_MS - 1);
		this.contacts.told(member("a", 5));
		this.clock.advance(1);
		assertThat(this.contacts.in(EAST)).isNull();
		this.contacts.told(member("a", 6));
		assertThat(this.contacts.in(EAST)).isNotNull();
	}

	@Test
	void responseConfirmsAContact() {
		this.contacts.told(member("a", 5));
		this.clock.advance(RemoteContacts.FRESH_MS - 1);
		this.contacts.responded(new VmName("a"));
		this.clock.advance(RemoteContacts.FRESH_MS - 1);
		assertThat(this.contacts.in(EAST)).isNotNull();
	}

	@Test
	void leavingProcessIsNoContact() {
		this.contacts.told(member("a", 5));
		this.contacts.told(member("a", EAST, 6, RosterPhase.LEAVING));
		assertThat(this.contacts.in(EAST)).isNull();
	}

}
