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
	void membersOfTheSameRegionAreNotContacts() {
		this.contacts.update(member("a", new Region("west"), 1, RosterPhase.SERVING));
		assertThat(this.contacts.usable()).isEmpty();
	}

	@Test
	void contactStaysTheSameWhileItIsUsable() {
		for (int i = 0; i < 10; i++) {
			this.contacts.update(member("vm-" + i, 1));
		}
		assertThat(this.contacts.usable()).hasSize(RemoteContacts.MAX_PER_REGION);
		RosterMember first = this.contacts.contactIn(EAST);
		assertThat(this.contacts.contactIn(EAST)).isEqualTo(first);
		this.contacts.recordFailure(first.vm());
		assertThat(this.contacts.contactIn(EAST)).isNotNull().isNotEqualTo(first);
		this.clock.advance(RemoteContacts.FAILURE_PAUSE_MS);
		assertThat(this.contacts.contactIn(EAST)).isEqualTo(first);
	}

	// Guards against using a process that is gone: others may still pass on its last
	// heartbeat counter.
	@Test
	void repeatedHeartbeatCounterDoesNotConfirmAContact() {
		this.contacts.update(member("a", 5));
		this.clock.advance(RemoteContacts.CONFIRMATION_TIMEOUT_MS - 1);
		this.contacts.update(member("a", 5));
		this.clock.advance(1);
		assertThat(this.contacts.contactIn(EAST)).isNull();
		this.contacts.update(member("a", 6));
		assertThat(this.contacts.contactIn(EAST)).isNotNull();
	}

	@Test
	void responseConfirmsAContact() {
		this.contacts.update(member("a", 5));
		this.clock.advance(RemoteContacts.CONFIRMATION_TIMEOUT_MS - 1);
		this.contacts.recordResponse(new VmName("a"));
		this.clock.advance(RemoteContacts.CONFIRMATION_TIMEOUT_MS - 1);
		assertThat(this.contacts.contactIn(EAST)).isNotNull();
	}

	@Test
	void leavingProcessIsNotAContact() {
		this.contacts.update(member("a", 5));
		this.contacts.update(member("a", EAST, 6, RosterPhase.LEAVING));
		assertThat(this.contacts.contactIn(EAST)).isNull();
	}

}
