package org.lovagevale.core.fleet;

import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import org.lovagevale.core.Histories;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against settings versions that decrease, two owners of a server, work permitted
 * by outdated messages after a pause, and a fleet that does not converge once the faults
 * have ended.
 */
class FleetHistoryTests {

	private static final AtomicLong OWNED_CHECKS = new AtomicLong();

	private static final AtomicLong FENCED_CHECKS = new AtomicLong();

	@Property(seed = "20261204", tries = 60)
	void invariantsHoldUnderRandomFaults(@ForAll long seed) {
		Histories.run(seed, (historySeed) -> {
			SimulatedFleet fleet = SimulatedFleet.faulty(historySeed);
			fleet.runUntilRecovered();
			OWNED_CHECKS.addAndGet(fleet.ownedChecks);
			FENCED_CHECKS.addAndGet(fleet.fencedChecks);
		});
	}

	// Without this check the property would also hold for a fleet whose processes never
	// own a server and are never fenced.
	@AfterContainer
	static void historiesReachedOwnershipAndFencing() {
		assertThat(OWNED_CHECKS.get()).isPositive();
		assertThat(FENCED_CHECKS.get()).isPositive();
	}

}
