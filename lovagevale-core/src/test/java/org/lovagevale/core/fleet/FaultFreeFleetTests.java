package org.lovagevale.core.fleet;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a fleet of 20 VMs that exceeds its budgets of settings reads and peer
 * bytes, or whose settings become unconfirmed although nothing fails.
 */
class FaultFreeFleetTests {

	private static final int VMS = 20;

	private static final long WARM_UP_MS = 10_000;

	private static final long MEASURED_MS = 30_000;

	@Test
	void twentyProcessesStayConfirmedWithinTheirBudgets() {
		SimulatedFleet fleet = SimulatedFleet.faultFree(20261204,
				IntStream.range(0, VMS)
					.mapToObj((i) -> "r" + i % 3 + "/" + "ab".charAt(i / 3 % 2) + "/e" + i)
					.toArray(String[]::new));
		fleet.run(WARM_UP_MS);
		int readsBefore = fleet.settingsReads;
		long bytesBefore = fleet.sentBytes;
		long highestAgeMs = 0;
		for (long until = WARM_UP_MS; until < WARM_UP_MS + MEASURED_MS; until += 100) {
			fleet.run(until);
			for (SimulatedNode node : fleet.nodes()) {
				highestAgeMs = Math.max(highestAgeMs, node.logic.confirmedAgeMs());
				assertThat(node.logic.permission()).isEqualTo(WorkPermission.OPEN);
			}
		}
		long seconds = MEASURED_MS / 1_000;
		assertThat((fleet.settingsReads - readsBefore) / seconds).as("reads per second, limit 1 % of 2,000")
			.isLessThan(20);
		assertThat((fleet.sentBytes - bytesBefore) / seconds / VMS).as("bytes per second and VM").isLessThan(29_000);
		assertThat(highestAgeMs).as("age of the oldest confirmation").isLessThan(2_500);
	}

}
