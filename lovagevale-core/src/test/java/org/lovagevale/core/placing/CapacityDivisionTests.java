package org.lovagevale.core.placing;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a burst of one kind of requests that takes the slots of the others,
 * against kinds that are starved, and against servers that are filled. Prints what
 * callers get by kind.
 */
class CapacityDivisionTests {

	private static final int SERVERS = 44;

	private static final int DURATION_MS = 45_000;

	/** Short, since each of the 46 dispatchers has its own long queue. */
	private static final int ALONE_DURATION_MS = 3_000;

	private static final int BURST_FROM_MS = 25_000;

	private static final int BURST_TO_MS = 40_000;

	private static final double BURST_FACTOR = 2.6;

	/** Share by which a kind may be served less often than a less urgent one. */
	private static final double MAX_INVERSION = 0.05;

	private static final List<SimulatedKind> KINDS = List.of(SimulatedKind.of("listing", 26, 111, 261, 1_237, 0, true),
			SimulatedKind.of("reads", 96, 270, 605, 1_200, 1, true),
			SimulatedKind.of("signing", 28, 192, 509, 1_510, 1, false),
			SimulatedKind.of("queueing", 47, 349, 1_507, 2_000, 2, false));

	private static ContendedRegions simulate(String burst) {
		ContendedRegions regions = new ContendedRegions(1, List.of(DispatcherFixture.WEST), SERVERS, 1, KINDS,
				(kind, region, elapsedMs) -> {
					boolean inBurst = elapsedMs >= BURST_FROM_MS && elapsedMs < BURST_TO_MS;
					boolean bursting = burst.equals("all") || kind.route().equals(burst);
					return (inBurst && bursting) ? BURST_FACTOR : 1;
				})
			.measure(BURST_FROM_MS, BURST_TO_MS);
		regions.simulate(DURATION_MS);
		regions.print("burst=" + burst);
		return regions;
	}

	@ParameterizedTest
	@ValueSource(strings = { "listing", "reads", "signing", "queueing", "all" })
	void noKindIsServedLessOftenThanALessUrgentOneOrStarved(String burst) {
		ContendedRegions regions = simulate(burst);
		for (SimulatedKind urgent : KINDS) {
			double servedShare = regions.result(urgent.route()).servedShare();
			assertThat(servedShare).as(urgent.route()).isGreaterThan(0.2);
			for (SimulatedKind other : KINDS) {
				if (other.priority() > urgent.priority()) {
					assertThat(servedShare).as("%s against %s", urgent.route(), other.route())
						.isGreaterThanOrEqualTo(regions.result(other.route()).servedShare() - MAX_INVERSION);
				}
			}
		}
		assertThat(regions.unanswered()).isZero();
	}

	@Test
	void burstOfALessUrgentKindTakesNothingFromTheOthers() {
		ContendedRegions regions = simulate("queueing");
		for (String route : List.of("listing", "reads", "signing")) {
			assertThat(regions.result(route).servedShare()).as(route).isGreaterThan(0.95);
		}
	}

	@Test
	void requestsThatCannotBeServedAreRefusedAtOnce() {
		ContendedRegions regions = simulate("all");
		for (SimulatedKind kind : KINDS) {
			KindTotals totals = regions.result(kind.route());
			assertThat((double) totals.tooLate / totals.callers).as(kind.route()).isLessThan(0.1);
		}
	}

	// A server that is full never responds. Without a common dispatcher, each VM knows
	// only its own requests.
	@Test
	void dispatchersThatDecideAloneDoNotFillServers() {
		for (int vms : new int[] { 6, 46 }) {
			ContendedRegions undivided = alone(vms).withUndividedServers();
			undivided.simulate(ALONE_DURATION_MS);
			undivided.print("alone vms=" + vms + " divided=false");
			ContendedRegions divided = alone(vms);
			divided.simulate(ALONE_DURATION_MS);
			divided.print("alone vms=" + vms + " divided=true");
			assertThat(undivided.unanswered()).isPositive();
			assertThat(divided.unanswered()).isZero();
			assertThat(divided.inTimeShare()).isGreaterThan(undivided.inTimeShare());
		}
	}

	private static ContendedRegions alone(int vms) {
		return new ContendedRegions(1, List.of(DispatcherFixture.WEST), SERVERS, vms, KINDS,
				(kind, region, elapsedMs) -> BURST_FACTOR);
	}

}
