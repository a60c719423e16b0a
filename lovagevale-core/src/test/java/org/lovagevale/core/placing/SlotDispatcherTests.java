package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against slots that are granted to the wrong request, on a server that must not
 * be used or beyond the limits on cold servers and extra sends.
 */
class SlotDispatcherTests {

	private final DispatcherFixture fixture = new DispatcherFixture();

	@Test
	void slotOfFreeServerIsGrantedImmediately() {
		this.fixture.addServer("a").publishCatalog();
		assertThat(this.fixture.granted).containsEntry(this.fixture.requestSlot(), new ServerName("a"));
	}

	@Test
	void requestsAreSpreadOverServers() {
		this.fixture.addServer("a").addServer("b").addServer("c").publishCatalog();
		for (int i = 0; i < 3; i++) {
			this.fixture.requestSlot();
		}
		assertThat(Set.copyOf(this.fixture.granted.values())).hasSize(3);
	}

	@Test
	void requestWaitsForAReleasedSlotIfAllServersAreFull() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 1, false, 0, 1).publishCatalog();
		long first = this.fixture.requestSlot();
		long second = this.fixture.requestSlot();
		assertThat(this.fixture.queued).containsExactly(second);
		this.fixture.release(first, SlotOutcome.SERVED);
		assertThat(this.fixture.granted).containsKey(second);
	}

	// Guards against refusals for lack of slots that a health check frees at once.
	@Test
	void requestsWaitForTheFirstAnswerOfAServerWithFreeSlots() {
		this.fixture.addServer("a").publishCatalog();
		List<Long> requested = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			requested.add(this.fixture.requestSlot(this.fixture.slotRequest(1, true, 240, 600, 1_500)));
		}
		assertThat(this.fixture.granted).containsOnlyKeys(requested.get(0));
		assertThat(this.fixture.queued).containsExactly(requested.get(1), requested.get(2));
		assertThat(this.fixture.refused).containsOnly(Map.entry(requested.get(3), RefusalCause.OVERLOAD));
		assertThat(this.fixture.requestedLoads).containsExactly(new ServerName("a"));
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), ServerLoad.UNKNOWN, -1);
		assertThat(this.fixture.granted).containsOnlyKeys(requested.subList(0, 3));
	}

	@Test
	void requestsDoNotWaitForTheFirstAnswerOfAServerOfAnotherRegion() {
		this.fixture.addServer("a", new FailureDomain("east-1"), new Region("east"), 6, false, 0, 1).publishCatalog();
		for (int i = 0; i < 2; i++) {
			this.fixture.requestSlot(this.fixture.slotRequest(1, true, 240, 600, 1_500));
		}
		long third = this.fixture.requestSlot(this.fixture.slotRequest(1, true, 240, 600, 1_500));
		assertThat(this.fixture.refused).containsOnly(Map.entry(third, RefusalCause.OVERLOAD));
	}

	@Test
	void requestDoesNotWaitForTheFirstAnswerBeyondItsTimeout() {
		this.fixture.addServer("a").publishCatalog();
		this.fixture.requestSlot(this.fixture.slotRequest(1, true, 240, 400, 470));
		long second = this.fixture.requestSlot(this.fixture.slotRequest(1, true, 240, 400, 470));
		assertThat(this.fixture.refused).containsOnly(Map.entry(second, RefusalCause.OVERLOAD));
	}

	@Test
	void higherPriorityIsServedFirst() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 1, false, 0, 1).publishCatalog();
		long running = this.fixture.requestSlot();
		long low = this.fixture.requestSlot(this.fixture.slotRequest(2, true, 100, 400, 2_000));
		long high = this.fixture.requestSlot(this.fixture.slotRequest(0, true, 100, 400, 2_000));
		this.fixture.release(running, SlotOutcome.SERVED);
		assertThat(this.fixture.granted).containsKey(high).doesNotContainKey(low);
	}

	@Test
	void requestThatCanMeetItsTargetLatencyIsServedBeforeOneThatCannot() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 1, false, 0, 1).publishCatalog();
		long running = this.fixture.requestSlot();
		long late = this.fixture.requestSlot(this.fixture.slotRequest(1, true, 100, 150, 4_000));
		this.fixture.clock.advance(100);
		long onTime = this.fixture.requestSlot(this.fixture.slotRequest(1, true, 100, 900, 4_000));
		this.fixture.release(running, SlotOutcome.SERVED);
		assertThat(this.fixture.granted).containsKey(onTime).doesNotContainKey(late);
	}

	@Test
	void overloadIsRefusedImmediatelyWithSpreadDelays() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 1, false, 0, 1).publishCatalog();
		List<Long> requested = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			requested.add(this.fixture.requestSlot());
		}
		assertThat(this.fixture.refused).containsEntry(requested.getLast(), RefusalCause.OVERLOAD);
		List<Integer> delays = requested.stream()
			.filter(this.fixture.retryAfterMs::containsKey)
			.map(this.fixture.retryAfterMs::get)
			.toList();
		// The server needs 100 ms for each of them.
		assertThat(delays).hasSizeGreaterThan(10).doesNotHaveDuplicates().allMatch((delay) -> delay <= 5_000);
		assertThat(delays.getFirst()).isBetween(150, 1_000);
		assertThat(delays.get(1) - delays.getFirst()).isGreaterThanOrEqualTo(100);
		assertThat(this.fixture.queued).hasSizeBetween(1, 4);
	}

	@Test
	void requestThatCannotBeServedInTimeIsRefusedBeforeItsTimeout() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 1, false, 0, 1).publishCatalog();
		this.fixture.requestSlot();
		long waiting = this.fixture.requestSlot(this.fixture.slotRequest(1, true, 100, 400, 300));
		this.fixture.clock.advance(260);
		this.fixture.dispatcher.tick();
		assertThat(this.fixture.refused).containsEntry(waiting, RefusalCause.TOO_LATE);
	}

	@Test
	void drainingAndEvacuatedServersGetNoRequests() {
		FailureDomain other = new FailureDomain("west-2");
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 3, true, 0, 1)
			.addServer("b", other, DispatcherFixture.WEST, 3, false, 0, 1);
		this.fixture.evacuatedDomains.add(other);
		this.fixture.publishCatalog();
		assertThat(this.fixture.refused).containsEntry(this.fixture.requestSlot(), RefusalCause.NO_SERVER);
	}

	@Test
	void requestIsNotPlacedOutsideItsHomeRegions() {
		this.fixture.addServer("a", new FailureDomain("east-1"), new Region("east"), 3, false, 0, 1).publishCatalog();
		SlotRequest template = this.fixture.slotRequest(1, true, 100, 400, 2_000);
		SlotRequest westOnly = new SlotRequest(template.id(), template.service(), template.domain(),
				Set.of(DispatcherFixture.WEST), false, 1, false, SendPurpose.FIRST, 100, 400, 2_000, Set.of(), 1);
		assertThat(this.fixture.refused).containsEntry(this.fixture.requestSlot(westOnly), RefusalCause.NO_SERVER);
	}

	@Test
	void rateOfColdServerIsLimitedInEverySecond() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 3, false, 60_000, 1)
			.publishCatalog();
		List<Long> grantTimes = new ArrayList<>();
		int recordedGrants = 0;
		for (int ms = 0; ms < 5_000; ms += 10) {
			long id = this.fixture.requestSlot(this.fixture.slotRequest(1, true, 5, 400, 500));
			this.fixture.dispatcher.tick();
			while (recordedGrants < this.fixture.granted.size()) {
				recordedGrants++;
				grantTimes.add(this.fixture.clock.millis());
			}
			List.copyOf(this.fixture.granted.keySet())
				.forEach((number) -> this.fixture.release(number, SlotOutcome.SERVED));
			assertThat(id).isPositive();
			this.fixture.clock.advance(10);
		}
		for (long at : grantTimes) {
			long grantsInSecond = grantTimes.stream().filter((other) -> other >= at && other < at + 1_000).count();
			assertThat(grantsInSecond).isLessThanOrEqualTo((long) DispatcherFixture.COLD_REQUESTS_PER_SECOND + 1);
		}
		assertThat(grantTimes.size()).isGreaterThan(10);
	}

	@Test
	void coldServerGetsNoRequestsFromProcessThatIsNotSoleOwner() {
		this.fixture.soleOwner = false;
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 3, false, 60_000, 1)
			.publishCatalog();
		this.fixture.requestSlot();
		assertThat(this.fixture.granted).isEmpty();
	}

	@Test
	void serverThatReturnsFromEvacuationCountsAsColdUntilItIsChecked() {
		this.fixture.addServer("a");
		this.fixture.evacuatedDomains.add(DispatcherFixture.DOMAIN);
		this.fixture.publishCatalog();
		this.fixture.evacuatedDomains.clear();
		this.fixture.publishCatalog();
		this.fixture.requestSlot();
		this.fixture.requestSlot();
		assertThat(this.fixture.granted).hasSize(1);
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(1, 0, 3, 100), 0);
		assertThat(this.fixture.granted).hasSize(2);
	}

	@Test
	void extraSendsAreLimitedToTheBudgetOfTheRegion() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 500, false, 0, 1)
			.publishCatalog();
		int grantedExtraSends = 0;
		for (int i = 0; i < 100; i++) {
			this.fixture.requestSlot();
			long extra = this.fixture.requestSlot(this.fixture.slotRequest(1, false, 100, 400, 2_000));
			grantedExtraSends += this.fixture.granted.containsKey(extra) ? 1 : 0;
			this.fixture.clock.advance(20);
		}
		double maxExtraSends = DispatcherFixture.LIMITS.retryExtra() / DispatcherFixture.LIMITS.regions()
				+ 100 * DispatcherFixture.LIMITS.retryRatio();
		assertThat(grantedExtraSends).isBetween(5, (int) maxExtraSends);
		assertThat(this.fixture.refused).containsValue(RefusalCause.EXTRA_BUDGET);
	}

	@Test
	void slotsReleasedUnusedTakeNothingFromTheRetryBudget() {
		this.fixture.addServer("a").publishCatalog();
		// Earns a budget for one extra send, and not for two.
		for (int i = 0; i < 7; i++) {
			this.fixture.release(this.fixture.requestSlot(), SlotOutcome.SERVED);
		}
		for (int i = 0; i < 100; i++) {
			long extra = this.fixture.requestSlot(this.fixture.slotRequest(1, false, 100, 400, 2_000));
			assertThat(this.fixture.granted).containsKey(extra);
			this.fixture.release(extra, SlotOutcome.UNUSED);
		}
	}

	@Test
	void slotsReleasedUnusedDoNotRaiseTheRetryBudget() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 500, false, 0, 1)
			.publishCatalog();
		for (int i = 0; i < 1_000; i++) {
			this.fixture.release(this.fixture.requestSlot(), SlotOutcome.UNUSED);
		}
		int grantsBefore = this.fixture.granted.size();
		for (int i = 0; i < 100; i++) {
			this.fixture.requestSlot(this.fixture.slotRequest(1, false, 100, 400, 2_000));
		}
		double maxExtraSends = DispatcherFixture.LIMITS.retryExtra() / DispatcherFixture.LIMITS.regions();
		assertThat(this.fixture.granted.size() - grantsBefore).isLessThanOrEqualTo((int) maxExtraSends);
	}

	@Test
	void grantOfARetryStatesTheRemainingBudget() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 500, false, 0, 1)
			.publishCatalog();
		long first = this.fixture.requestSlot();
		long retry = this.fixture.requestSlot(this.fixture.slotRequest(1, false, 100, 400, 2_000));
		assertThat(this.fixture.grantReasons.get(first)).doesNotContain("retriesLeft");
		assertThat(this.fixture.grantReasons.get(retry)).contains("retriesLeft=0");
	}

	@Test
	void requestWhoseConnectionIsLostRepeatedlyIsQuarantined() {
		this.fixture.addServer("a").addServer("b").publishCatalog();
		for (int i = 0; i < CrashSuspects.STRIKES_TO_QUARANTINE; i++) {
			SlotRequest template = this.fixture.slotRequest(1, true, 100, 400, 2_000);
			long id = this.fixture.requestSlot(withFingerprint(template, 99));
			this.fixture.release(id, SlotOutcome.LOST, 99);
		}
		long refused = this.fixture
			.requestSlot(withFingerprint(this.fixture.slotRequest(1, true, 100, 400, 2_000), 99));
		assertThat(this.fixture.refused).containsEntry(refused, RefusalCause.QUARANTINED);
	}

	private static SlotRequest withFingerprint(SlotRequest template, long fingerprint) {
		return new SlotRequest(template.id(), template.service(), template.domain(), template.homeRegions(),
				template.localOnly(), template.priority(), false, template.purpose(), template.workMs(),
				template.targetLeftMs(), template.timeLeftMs(), template.triedServers(), fingerprint);
	}

	@Test
	void failingServerIsAvoidedWhileAnotherIsAvailable() {
		this.fixture.addServer("a").addServer("b").publishCatalog();
		for (int i = 0; i < 12; i++) {
			long id = this.fixture.requestSlot();
			boolean failing = this.fixture.granted.get(id).equals(new ServerName("a"));
			this.fixture.release(id, failing ? SlotOutcome.FAILED : SlotOutcome.SERVED);
		}
		long next = this.fixture.requestSlot();
		assertThat(this.fixture.granted).containsEntry(next, new ServerName("b"));
	}

	@Test
	void unreachableServerIsUsedOnlyIfThereIsNoOther() {
		this.fixture.addServer("a").addServer("b").publishCatalog();
		// A server that has not answered yet gets one request at a time.
		this.fixture.dispatcher.recordHealthCheck(new ServerName("b"), ServerLoad.UNKNOWN, 0);
		this.fixture.dispatcher.recordUnreachable(new ServerName("a"));
		for (int i = 0; i < 2; i++) {
			assertThat(this.fixture.granted).containsEntry(this.fixture.requestSlot(), new ServerName("b"));
		}
		this.fixture.dispatcher.recordUnreachable(new ServerName("b"));
		assertThat(this.fixture.granted).containsKey(this.fixture.requestSlot());
	}

	@Test
	void requestWaitsWhileTheOnlyServerIsSlow() {
		this.fixture.addServer("a").publishCatalog();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 500), 0);
		long waiting = this.fixture.requestSlot();
		assertThat(this.fixture.queued).containsExactly(waiting);
		this.fixture.clock.advance(60);
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 100), 0);
		assertThat(this.fixture.granted).containsKey(waiting);
	}

	@Test
	void serverThatStaysSlowIsUsedAfterTheMaximumWait() {
		this.fixture.addServer("a").publishCatalog();
		long id = this.fixture.requestSlot(this.fixture.slotRequest(1, true, 100, 4_000, 8_000));
		this.fixture.release(id, SlotOutcome.SERVED);
		for (int i = 0; i < 20; i++) {
			this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 500), 0);
			id = this.fixture.requestSlot(this.fixture.slotRequest(1, true, 100, 4_000, 8_000));
			this.fixture.clock.advance(60);
		}
		assertThat(this.fixture.granted).hasSizeGreaterThan(1);
	}

	@Test
	void slotsOfARemovedVmAreReleased() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 1, false, 0, 1).publishCatalog();
		this.fixture.requestSlot();
		this.fixture.dispatcher.removeVm(DispatcherFixture.VM);
		long next = this.fixture.requestSlot();
		assertThat(this.fixture.granted).containsKey(next);
	}

	@Test
	void grantsOfARestartedServerAreReleased() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 1, false, 0, 1).publishCatalog();
		this.fixture.requestSlot();
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 1, false, 0, 2).publishCatalog();
		long next = this.fixture.requestSlot();
		assertThat(this.fixture.granted).containsKey(next);
	}

	// Guards against a second grant for the same request: if the receiver of a grant
	// releases the slot immediately, the queue is served again in a nested call.
	@Test
	void requestIsGrantedOnlyOnceIfItsSlotIsReleasedDuringTheGrant() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 1, false, 0, 1).publishCatalog();
		long running = this.fixture.requestSlot();
		long first = this.fixture.requestSlot(this.fixture.slotRequest(1, true, 100, 4_000, 8_000));
		long second = this.fixture.requestSlot(this.fixture.slotRequest(1, true, 100, 4_000, 8_000));
		this.fixture.onGranted = (id) -> this.fixture.release(id.number(), SlotOutcome.UNUSED);
		this.fixture.release(running, SlotOutcome.SERVED);
		assertThat(this.fixture.granted).containsKeys(first, second);
	}

	@Test
	void requestWaitsForFreshLoadReportsOfServersThatAreNotSteady() {
		this.fixture.addServer("a").addServer("b").publishCatalog();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 100), 0);
		this.fixture.dispatcher.recordHealthCheck(new ServerName("b"), new ServerLoad(0, 0, 3, 100), 0);
		this.fixture.clock.advance(60);
		long waiting = this.fixture.requestSlot();
		assertThat(this.fixture.queued).containsExactly(waiting);
		assertThat(this.fixture.requestedLoads).containsExactlyInAnyOrder(new ServerName("a"), new ServerName("b"));
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 500), 0);
		assertThat(this.fixture.granted).isEmpty();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("b"), new ServerLoad(0, 0, 3, 100), 0);
		assertThat(this.fixture.granted).containsEntry(waiting, new ServerName("b"));
	}

	@Test
	void requestIsPlacedWithoutFreshLoadReportAfterTheMaximumWait() {
		this.fixture.addServer("a").publishCatalog();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 100), 0);
		this.fixture.clock.advance(60);
		long waiting = this.fixture.requestSlot();
		this.fixture.clock.advance(SlownessEstimate.MAX_FRESH_LOAD_WAIT_MS);
		this.fixture.dispatcher.tick();
		assertThat(this.fixture.granted).containsKey(waiting);
	}

	@Test
	void requestWaitsForLocalLoadReportRatherThanUsingAnotherRegion() {
		this.fixture.addServer("a").addServer("far", new FailureDomain("east-1"), new Region("east"), 3, false, 0, 1);
		this.fixture.publishCatalog();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 100), 0);
		this.fixture.clock.advance(60);
		long waiting = this.fixture.requestSlot();
		assertThat(this.fixture.granted).isEmpty();
		this.fixture.dispatcher.recordHealthCheck(new ServerName("a"), new ServerLoad(0, 0, 3, 100), 0);
		assertThat(this.fixture.granted).containsEntry(waiting, new ServerName("a"));
	}

	@Test
	void localOnlyRequestIsNotPlacedInAnotherRegion() {
		this.fixture.addServer("far", new FailureDomain("east-1"), new Region("east"), 3, false, 0, 1).publishCatalog();
		SlotRequest template = this.fixture.slotRequest(1, true, 100, 400, 2_000);
		SlotRequest local = new SlotRequest(template.id(), template.service(), template.domain(), Set.of(), true, 1,
				false, SendPurpose.FIRST, 100, 400, 2_000, Set.of(), 1);
		assertThat(this.fixture.refused).containsEntry(this.fixture.requestSlot(local), RefusalCause.NO_SERVER);
		assertThat(this.fixture.granted).containsKey(this.fixture.requestSlot());
	}

	// A retry by the caller counts as a first send, so it does not depend on the budget.
	@Test
	void refusalByExtraSendBudgetSuggestsOnlyTheExpectedWait() {
		this.fixture.addServer("a", DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 500, false, 0, 1)
			.publishCatalog();
		this.fixture.soleOwner = false;
		long extra = this.fixture.requestSlot(this.fixture.slotRequest(1, false, 100, 400, 2_000));
		assertThat(this.fixture.refused).containsEntry(extra, RefusalCause.EXTRA_BUDGET);
		assertThat(this.fixture.retryAfterMs.get(extra)).isLessThan(50);
	}

}
