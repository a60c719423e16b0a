package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;

import static org.assertj.core.api.Assertions.assertThat;

class SlotDispatcherTests {

	private final Fixture fixture = new Fixture();

	@Test
	void slotOfFreeServerIsGrantedImmediately() {
		this.fixture.server("a").publish();
		assertThat(this.fixture.granted).containsEntry(this.fixture.requestSlot(), new ServerName("a"));
	}

	@Test
	void requestsSpreadOverServers() {
		this.fixture.server("a").server("b").server("c").publish();
		for (int i = 0; i < 3; i++) {
			this.fixture.requestSlot();
		}
		assertThat(Set.copyOf(this.fixture.granted.values())).hasSize(3);
	}

	@Test
	void requestWaitsForAReleasedSlotIfServersAreFull() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 1, false, 0, 1).publish();
		long first = this.fixture.requestSlot();
		long second = this.fixture.requestSlot();
		assertThat(this.fixture.queued).containsExactly(second);
		this.fixture.release(first, SlotOutcome.SERVED);
		assertThat(this.fixture.granted).containsKey(second);
	}

	@Test
	void higherPriorityIsServedFirst() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 1, false, 0, 1).publish();
		long running = this.fixture.requestSlot();
		long low = this.fixture.requestSlot(this.fixture.request(2, true, 100, 400, 2_000));
		long high = this.fixture.requestSlot(this.fixture.request(0, true, 100, 400, 2_000));
		this.fixture.release(running, SlotOutcome.SERVED);
		assertThat(this.fixture.granted).containsKey(high).doesNotContainKey(low);
	}

	@Test
	void requestThatCanMeetItsTargetIsServedBeforeLateOne() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 1, false, 0, 1).publish();
		long running = this.fixture.requestSlot();
		long late = this.fixture.requestSlot(this.fixture.request(1, true, 100, 150, 4_000));
		this.fixture.clock.advance(100);
		long fresh = this.fixture.requestSlot(this.fixture.request(1, true, 100, 900, 4_000));
		this.fixture.release(running, SlotOutcome.SERVED);
		assertThat(this.fixture.granted).containsKey(fresh).doesNotContainKey(late);
	}

	@Test
	void overloadIsRefusedImmediatelyWithTheExpectedWait() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 1, false, 0, 1).publish();
		List<Long> requested = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			requested.add(this.fixture.requestSlot());
		}
		long last = requested.getLast();
		assertThat(this.fixture.refused).containsEntry(last, RefusalCause.OVERLOAD);
		assertThat(this.fixture.retryAfter.get(last)).isBetween(150, 1_000);
		assertThat(this.fixture.queued).hasSizeBetween(1, 4);
	}

	@Test
	void requestThatCannotBeServedInTimeIsRefusedBeforeItsTimeout() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 1, false, 0, 1).publish();
		this.fixture.requestSlot();
		long waiting = this.fixture.requestSlot(this.fixture.request(1, true, 100, 400, 300));
		this.fixture.clock.advance(260);
		this.fixture.dispatcher.tick();
		assertThat(this.fixture.refused).containsEntry(waiting, RefusalCause.TOO_LATE);
	}

	@Test
	void drainingAndEvacuatedServersGetNoRequests() {
		FailureDomain other = new FailureDomain("west-2");
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 3, true, 0, 1)
			.server("b", other, Fixture.WEST, 3, false, 0, 1);
		this.fixture.evacuated.add(other);
		this.fixture.publish();
		assertThat(this.fixture.refused).containsEntry(this.fixture.requestSlot(), RefusalCause.NO_SERVER);
	}

	@Test
	void requestIsNotPlacedOutsideItsHomeRegions() {
		this.fixture.server("a", new FailureDomain("east-1"), new Region("east"), 3, false, 0, 1).publish();
		SlotRequest template = this.fixture.request(1, true, 100, 400, 2_000);
		SlotRequest atHome = new SlotRequest(template.id(), template.service(), template.domain(), Set.of(Fixture.WEST),
				false, 1, false, SendPurpose.FIRST, 100, 400, 2_000, Set.of(), 1);
		assertThat(this.fixture.refused).containsEntry(this.fixture.requestSlot(atHome), RefusalCause.NO_SERVER);
	}

	@Test
	void rateOfColdServerIsLimitedInEverySecond() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 3, false, 60_000, 1).publish();
		List<Long> grants = new ArrayList<>();
		int seen = 0;
		for (int ms = 0; ms < 5_000; ms += 10) {
			long id = this.fixture.requestSlot(this.fixture.request(1, true, 5, 400, 500));
			this.fixture.dispatcher.tick();
			while (seen < this.fixture.granted.size()) {
				seen++;
				grants.add(this.fixture.clock.millis());
			}
			List.copyOf(this.fixture.granted.keySet())
				.forEach((given) -> this.fixture.release(given, SlotOutcome.SERVED));
			assertThat(id).isPositive();
			this.fixture.clock.advance(10);
		}
		for (long at : grants) {
			long inSecond = grants.stream().filter((other) -> other >= at && other < at + 1_000).count();
			assertThat(inSecond).isLessThanOrEqualTo((long) Fixture.COLD_RATE + 1);
		}
		assertThat(grants.size()).isGreaterThan(10);
	}

	@Test
	void coldServerGetsNoRequestsFromProcessThatIsNotSoleOwner() {
		this.fixture.soleOwner = false;
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 3, false, 60_000, 1).publish();
		this.fixture.requestSlot();
		assertThat(this.fixture.granted).isEmpty();
	}

	@Test
	void serverThatReturnsFromEvacuationCountsAsColdUntilItIsChecked() {
		this.fixture.server("a");
		this.fixture.evacuated.add(Fixture.DOMAIN);
		this.fixture.publish();
		this.fixture.evacuated.clear();
		this.fixture.publish();
		this.fixture.requestSlot();
		this.fixture.requestSlot();
		assertThat(this.fixture.granted).hasSize(1);
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(1, 0, 3, 100), 0);
		assertThat(this.fixture.granted).hasSize(2);
	}

	@Test
	void extraSendsStayWithinTheBudgetOfTheRegion() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 500, false, 0, 1).publish();
		int given = 0;
		for (int i = 0; i < 100; i++) {
			this.fixture.requestSlot();
			long extra = this.fixture.requestSlot(this.fixture.request(1, false, 100, 400, 2_000));
			given += this.fixture.granted.containsKey(extra) ? 1 : 0;
			this.fixture.clock.advance(20);
		}
		double allowed = Fixture.LIMITS.retryExtra() / Fixture.LIMITS.regions() + 100 * Fixture.LIMITS.retryRatio();
		assertThat(given).isBetween(5, (int) allowed);
		assertThat(this.fixture.refused).containsValue(RefusalCause.EXTRA_BUDGET);
	}

	@Test
	void requestThatRepeatedlyLosesItsConnectionIsQuarantined() {
		this.fixture.server("a").server("b").publish();
		for (int i = 0; i < CrashSuspects.STRIKES_TO_QUARANTINE; i++) {
			SlotRequest template = this.fixture.request(1, true, 100, 400, 2_000);
			long id = this.fixture.requestSlot(withFingerprint(template, 99));
			this.fixture.release(id, SlotOutcome.LOST, 99);
		}
		long third = this.fixture.requestSlot(withFingerprint(this.fixture.request(1, true, 100, 400, 2_000), 99));
		assertThat(this.fixture.refused).containsEntry(third, RefusalCause.QUARANTINED);
	}

	private static SlotRequest withFingerprint(SlotRequest template, long fingerprint) {
		return new SlotRequest(template.id(), template.service(), template.domain(), template.homeRegions(),
				template.localOnly(), template.priority(), false, template.purpose(), template.workMs(),
				template.targetLeftMs(), template.timeLeftMs(), template.triedServers(), fingerprint);
	}

	@Test
	void failingServerIsAvoidedWhileAnotherIsAvailable() {
		this.fixture.server("a").server("b").publish();
		for (int i = 0; i < 12; i++) {
			long id = this.fixture.requestSlot();
			boolean bad = this.fixture.granted.get(id).equals(new ServerName("a"));
			this.fixture.release(id, bad ? SlotOutcome.FAILED : SlotOutcome.SERVED);
		}
		long next = this.fixture.requestSlot();
		assertThat(this.fixture.granted).containsEntry(next, new ServerName("b"));
	}

	@Test
	void unreachableServerIsUsedOnlyIfThereIsNoOther() {
		this.fixture.server("a").server("b").publish();
		this.fixture.dispatcher.recordUnreachable(new ServerName("a"));
		for (int i = 0; i < 2; i++) {
			assertThat(this.fixture.granted).containsEntry(this.fixture.requestSlot(), new ServerName("b"));
		}
		this.fixture.dispatcher.recordUnreachable(new ServerName("b"));
		assertThat(this.fixture.granted).containsKey(this.fixture.requestSlot());
	}

	@Test
	void requestWaitsWhileTheOnlyServerIsSlow() {
		this.fixture.server("a").publish();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 500), 0);
		long waiting = this.fixture.requestSlot();
		assertThat(this.fixture.queued).containsExactly(waiting);
		this.fixture.clock.advance(60);
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 100), 0);
		assertThat(this.fixture.granted).containsKey(waiting);
	}

	@Test
	void serverThatStaysSlowIsUsedEventually() {
		this.fixture.server("a").publish();
		long waiting = this.fixture.requestSlot(this.fixture.request(1, true, 100, 4_000, 8_000));
		this.fixture.release(waiting, SlotOutcome.SERVED);
		for (int i = 0; i < 20; i++) {
			this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 500), 0);
			waiting = this.fixture.requestSlot(this.fixture.request(1, true, 100, 4_000, 8_000));
			this.fixture.clock.advance(60);
		}
		assertThat(this.fixture.granted).hasSizeGreaterThan(1);
	}

	@Test
	void slotsOfARemovedVmAreReleased() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 1, false, 0, 1).publish();
		this.fixture.requestSlot();
		this.fixture.dispatcher.removeVm(Fixture.VM);
		long next = this.fixture.requestSlot();
		assertThat(this.fixture.granted).containsKey(next);
	}

	@Test
	void restartedServerStartsWithoutFormerGrants() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 1, false, 0, 1).publish();
		this.fixture.requestSlot();
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 1, false, 0, 2).publish();
		long next = this.fixture.requestSlot();
		assertThat(this.fixture.granted).containsKey(next);
	}

	// Guards against granting a request twice: a grant that releases its slot at once
	// serves the queue again in a nested call.
	@Test
	void slotReleasedDuringAGrantIsNotGrantedTwice() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 1, false, 0, 1).publish();
		long running = this.fixture.requestSlot();
		long first = this.fixture.requestSlot(this.fixture.request(1, true, 100, 4_000, 8_000));
		long second = this.fixture.requestSlot(this.fixture.request(1, true, 100, 4_000, 8_000));
		this.fixture.onGranted = (id) -> this.fixture.release(id.number(), SlotOutcome.UNUSED);
		this.fixture.release(running, SlotOutcome.SERVED);
		assertThat(this.fixture.granted).containsKeys(first, second);
	}

	@Test
	void requestWaitsForTheLoadOfServersThatChangeQuickly() {
		this.fixture.server("a").server("b").publish();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 100), 0);
		this.fixture.dispatcher.recordHealthCheck(new ServerName("b"), new ServerLoad(0, 0, 3, 100), 0);
		this.fixture.clock.advance(60);
		long waiting = this.fixture.requestSlot();
		assertThat(this.fixture.queued).containsExactly(waiting);
		assertThat(this.fixture.loadsWanted).containsExactlyInAnyOrder(new ServerName("a"), new ServerName("b"));
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 500), 0);
		assertThat(this.fixture.granted).isEmpty();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("b"), new ServerLoad(0, 0, 3, 100), 0);
		assertThat(this.fixture.granted).containsEntry(waiting, new ServerName("b"));
	}

	@Test
	void requestIsPlacedWithoutFreshLoadAfterTheMaximumWait() {
		this.fixture.server("a").publish();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 100), 0);
		this.fixture.clock.advance(60);
		long waiting = this.fixture.requestSlot();
		this.fixture.clock.advance(SlownessEstimate.MAX_FRESH_LOAD_WAIT_MS);
		this.fixture.dispatcher.tick();
		assertThat(this.fixture.granted).containsKey(waiting);
	}

	@Test
	void serverOfAnotherRegionDoesNotReplaceOneWhoseLoadIsRequested() {
		this.fixture.server("a").server("far", new FailureDomain("east-1"), new Region("east"), 3, false, 0, 1);
		this.fixture.publish();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 100), 0);
		this.fixture.clock.advance(60);
		long waiting = this.fixture.requestSlot();
		assertThat(this.fixture.granted).isEmpty();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 100), 0);
		assertThat(this.fixture.granted).containsEntry(waiting, new ServerName("a"));
	}

	@Test
	void localOnlyRequestIsNotPlacedInAnotherRegion() {
		this.fixture.server("far", new FailureDomain("east-1"), new Region("east"), 3, false, 0, 1).publish();
		SlotRequest template = this.fixture.request(1, true, 100, 400, 2_000);
		SlotRequest local = new SlotRequest(template.id(), template.service(), template.domain(), Set.of(), true, 1,
				false, SendPurpose.FIRST, 100, 400, 2_000, Set.of(), 1);
		assertThat(this.fixture.refused).containsEntry(this.fixture.requestSlot(local), RefusalCause.NO_SERVER);
		assertThat(this.fixture.granted).containsKey(this.fixture.requestSlot());
	}

	// A retry by the caller counts as a first send, so it need not wait for the budget.
	@Test
	void refusalForLackOfBudgetSuggestsOnlyTheExpectedWait() {
		this.fixture.server("a", Fixture.DOMAIN, Fixture.WEST, 500, false, 0, 1).publish();
		this.fixture.soleOwner = false;
		long extra = this.fixture.requestSlot(this.fixture.request(1, false, 100, 400, 2_000));
		assertThat(this.fixture.refused).containsEntry(extra, RefusalCause.EXTRA_BUDGET);
		assertThat(this.fixture.retryAfter.get(extra)).isLessThan(50);
	}

}
