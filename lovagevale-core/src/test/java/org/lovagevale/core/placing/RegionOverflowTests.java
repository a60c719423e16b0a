package org.lovagevale.core.placing;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.Region;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that move to regions without capacity, on old reports or out of
 * their home regions, and against regions that overload each other in turn.
 */
class RegionOverflowTests {

	private static final Region EAST = new Region("east");

	private static final Region SOUTH = new Region("south");

	private static final RegionCapacity FREE = new RegionCapacity(80, 20, 0);

	private static final RegionCapacity FULL = new RegionCapacity(10, 90, 0);

	private final RegionOverflow overflow = new RegionOverflow(0);

	private long now;

	private static SlotRequest request(int bodyBytes, Region... regions) {
		return new SlotRequest(new SlotId(DispatcherFixture.VM, 1), DispatcherFixture.SERVICE, DispatcherFixture.DOMAIN,
				Set.of(), true, 1, false, SendPurpose.FIRST, 100, 400, 2_000, Set.of(), 1, "reads", bodyBytes,
				Set.of(regions));
	}

	// Returns the share of the requests that moved to a region during the last second.
	private double movedShare(int requestsPerSecond, int bodyBytes, Map<Region, RegionCapacity> remote, Region to) {
		int moved = 0;
		for (int i = 0; i < 5 * requestsPerSecond; i++) {
			this.now += 1_000 / requestsPerSecond;
			SlotRequest request = request(bodyBytes, EAST, SOUTH);
			this.overflow.recordRequest(request, this.now);
			if (this.overflow.isDue(this.now)) {
				this.overflow.adjust(new RegionCapacity(0, 100, 0), remote, this.now);
			}
			boolean isMoved = to.equals(this.overflow.choose(request));
			moved += (isMoved && i >= 4 * requestsPerSecond) ? 1 : 0;
		}
		return (double) moved / requestsPerSecond;
	}

	@Test
	void nothingMovesWhileTheOwnRequestsNeedLessThanTheRegionHas() {
		// 500 requests a second of 100 ms need 75 of 100 slots.
		assertThat(movedShare(500, 0, Map.of(EAST, FREE), EAST)).isZero();
	}

	@Test
	void requestsMoveBeforeTheRegionIsFull() {
		// 625 requests a second of 100 ms need 94 of 100 slots, of which 80 are kept.
		assertThat(movedShare(625, 0, Map.of(EAST, FREE), EAST)).isBetween(0.08, 0.25);
	}

	@Test
	void requestsMoveInProportionToFreeCapacityAndNotToAFullRegion() {
		Map<Region, RegionCapacity> remote = Map.of(EAST, FREE, SOUTH, FULL);
		assertThat(movedShare(1_000, 0, remote, EAST)).isGreaterThan(0.1);
		assertThat(movedShare(1_000, 0, remote, SOUTH)).isZero();
		assertThat(movedShare(1_000, 0, Map.of(), EAST)).isZero();
	}

	@Test
	void largeBodiesMoveOnlyIfOthersAreNotEnough() {
		for (int i = 0; i < 1_000; i++) {
			this.now += 1;
			this.overflow.recordRequest(request((i % 2 == 0) ? 0 : 4_000, EAST), this.now);
			if (this.overflow.isDue(this.now)) {
				this.overflow.adjust(new RegionCapacity(0, 100, 0), Map.of(EAST, FREE), this.now);
			}
		}
		for (int i = 0; i < 100; i++) {
			assertThat(this.overflow.choose(request(4_000, EAST))).isNull();
		}
		assertThat(this.overflow.choose(request(0, EAST)) == null && this.overflow.choose(request(0, EAST)) == null
				&& this.overflow.choose(request(0, EAST)) == null && this.overflow.choose(request(0, EAST)) == null
				&& this.overflow.choose(request(0, EAST)) == null)
			.isFalse();
	}

	@Test
	void requestThatMustStayIsNotMoved() {
		movedShare(1_000, 0, Map.of(EAST, FREE, SOUTH, FREE), EAST);
		for (int i = 0; i < 100; i++) {
			assertThat(this.overflow.choose(request(0))).isNull();
			assertThat(this.overflow.choose(request(0, new Region("north")))).isNull();
		}
	}

	@Test
	void requestThatWaitsLongerThanTheWayMovesAsLongAsTheReportLeavesRoom() {
		RegionCapacity little = new RegionCapacity(30, 70, 0);
		assertThat(this.overflow.chooseForWait(request(0, EAST), 50, Map.of(EAST, little))).isNull();
		int moved = 0;
		for (int i = 0; i < 50; i++) {
			moved += (this.overflow.chooseForWait(request(0, EAST), 200, Map.of(EAST, little)) != null) ? 1 : 0;
		}
		assertThat(moved).isBetween(1, 15);
	}

	@Test
	void oldReportIsNotUsed() {
		RemoteCapacity remote = new RemoteCapacity();
		remote.record(EAST, FREE, 1_000);
		assertThat(remote.recent(1_000 + RemoteCapacity.MAX_AGE_MS)).containsKey(EAST);
		assertThat(remote.recent(1_001 + RemoteCapacity.MAX_AGE_MS)).isEmpty();
	}

	// What moved shows in the next report, up to a second later.
	@Test
	void amountSettlesWithoutOscillation() {
		double movedBefore = 0;
		int reversals = 0;
		double lastChange = 0;
		RegionCapacity reported = FREE;
		for (int step = 0; step < 200; step++) {
			for (int i = 0; i < 100; i++) {
				this.now++;
				this.overflow.recordRequest(request(0, EAST), this.now);
			}
			if (step % 10 == 0) {
				int used = 20 + (int) Math.round(movedBefore);
				reported = new RegionCapacity(100 - used, used, 0);
			}
			this.overflow.adjust(new RegionCapacity(0, 100, 0), Map.of(EAST, reported), this.now);
			double change = this.overflow.movedSlots() - movedBefore;
			// Changes below a slot are the rounding of the reports.
			if (step > 30 && Math.abs(change) > 1 && change * lastChange < 0) {
				reversals++;
			}
			lastChange = change;
			movedBefore = this.overflow.movedSlots();
		}
		assertThat(movedBefore).isBetween(15.0, 40.0);
		assertThat(reversals).isLessThanOrEqualTo(2);
	}

	@Test
	void demandThatSwingsOutOfPhaseIsServedBetterWithOverflow() {
		ContendedRegions without = swinging();
		without.simulate(40_000);
		without.print("swing overflow=false");
		ContendedRegions with = swinging().withOverflow();
		with.simulate(40_000);
		with.print("swing overflow=true");
		assertThat(with.inTimeShare()).isGreaterThan(without.inTimeShare() + 0.03);
		assertThat(with.result("upload").relayed).isLessThan(with.result("schedule").relayed);
		assertThat(with.unanswered()).isZero();
	}

	private static ContendedRegions swinging() {
		List<Region> regions = List.of(DispatcherFixture.WEST, EAST, SOUTH);
		List<SimulatedKind> kinds = List.of(SimulatedKind.of("schedule", 66, 150, 400, 2_000, 1, true),
				new SimulatedKind("upload", 22, 250, 900, 2_000, 1, false, 4_000,
						Set.of(DispatcherFixture.WEST, EAST)));
		return new ContendedRegions(1, regions, 8, 1, kinds,
				(kind, region, elapsedMs) -> 1
						+ 0.55 * Math.sin(2 * Math.PI * (elapsedMs / 13_000.0 + regions.indexOf(region) / 3.0)))
			.measure(10_000, 40_000);
	}

}
