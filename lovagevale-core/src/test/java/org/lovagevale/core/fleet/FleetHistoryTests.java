package org.lovagevale.core.fleet;

import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import org.lovagevale.core.Histories;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against settings versions that decrease, two owners of a server, work permitted
 * by outdated messages after a pause, and a fleet that does not converge after faults
 * end.
 */
class FleetHistoryTests {

	private static final AtomicLong OWNED = new AtomicLong();

	private static final AtomicLong FENCED = new AtomicLong();

	@Property(seed = "20261204", tries = 60)
	void invariantsHoldUnderRandomFaults(@ForAll long seed) {
		Histories.run(seed, (one) -> {
			SimulatedFleet fleet = SimulatedFleet.faulty(one);
			fleet.runUntilHealed();
			OWNED.addAndGet(fleet.owned);
			FENCED.addAndGet(fleet.fenced);
		});
	}

	// Without this check the property would also hold for a fleet whose processes never
	// own a server and are never fenced.
	@AfterContainer
	static void historiesReachedOwnershipAndFence() {
		assertThat(OWNED.get()).isPositive();
		assertThat(FENCED.get()).isPositive();
	}

}
