package org.lovagevale.core.placing;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.Region;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that crashes servers and is tried by each region, each
 * dispatcher or each run of a process anew.
 */
class SuspectFleetTests {

	/**
	 * Time after which the fleet must know of a crash, in milliseconds; the shortest one
	 * of the deployments.
	 */
	private static final long STABLE_MS = 4_000;

	private static final int MAX_LATE_RETRIES = 3;

	private final SimulatedSuspectFleet fleet = new SimulatedSuspectFleet(3, 2);

	private long lateRetries(Region region) {
		if (this.fleet.crashedAt.size() < 3) {
			return 0;
		}
		long third = this.fleet.crashedAt.get(2);
		return this.fleet.sentAt.get(region).stream().filter((at) -> at > third + STABLE_MS).count();
	}

	private long lateRetries() {
		return this.fleet.regions.keySet().stream().mapToLong(this::lateRetries).sum();
	}

	@Test
	void requestThatComesToAllRegionsInTurnCrashesThreeServersInAnHour() {
		for (int i = 0; i < 1_200; i++) {
			this.fleet.request(this.fleet.region(i), true);
			this.fleet.run(3_000);
		}
		assertThat(this.fleet.crashedAt).hasSizeBetween(3, 4);
		assertThat(lateRetries()).isLessThanOrEqualTo(1);
	}

	@Test
	void requestThatComesToAllRegionsAtOnceIsTriedByOneOfThem() {
		for (int i = 0; i < 20; i++) {
			this.fleet.regions.keySet().forEach((region) -> this.fleet.request(region, true));
			this.fleet.run(3_000);
		}
		assertThat(this.fleet.crashedAt).hasSize(3);
		this.fleet.run(540_000);
		for (int i = 0; i < 60; i++) {
			this.fleet.regions.keySet().forEach((region) -> this.fleet.request(region, true));
			this.fleet.run(3_000);
		}
		assertThat(lateRetries()).isEqualTo(1);
	}

	@Test
	void trialThatRunsWellReleasesTheRequestInAllRegions() {
		for (int i = 0; i < 10; i++) {
			this.fleet.request(this.fleet.region(i), true);
			this.fleet.run(3_000);
		}
		this.fleet.run(60_000);
		boolean tried = false;
		for (int i = 0; i < 50 && !tried; i++) {
			tried = this.fleet.request(this.fleet.region(i), false);
			this.fleet.run(700);
		}
		this.fleet.run(1_000);
		assertThat(tried).isTrue();
		assertThat(this.fleet.vms()).allMatch((vm) -> !vm.suspects.isSuspect(SimulatedSuspectFleet.CRASHING_REQUEST));
	}

	@Property(tries = 300, seed = "1", shrinking = ShrinkingMode.OFF)
	void lateRetriesAreBoundedAndTablesAgree(@ForAll("events") List<Event> events) {
		boolean wasCut = false;
		for (Event event : events) {
			switch (event.kind()) {
				case REQUESTS -> {
					for (int i = 0; i < 5; i++) {
						this.fleet.request(this.fleet.region(event.region() + i), true);
						this.fleet.run(event.spacingMs());
					}
				}
				case RESTART -> {
					this.fleet.run(1_000);
					this.fleet.restartDispatcher(this.fleet.region(event.region()));
					this.fleet.run(500);
				}
				case CUT -> {
					wasCut = true;
					this.fleet.cut(this.fleet.region(event.region()));
				}
				case HEAL -> this.fleet.heal();
				case PAUSE -> this.fleet.run(event.pauseMs());
			}
		}
		for (Region region : this.fleet.regions.keySet()) {
			assertThat(lateRetries(region)).isLessThanOrEqualTo(MAX_LATE_RETRIES);
		}
		if (!wasCut) {
			assertThat(lateRetries()).isLessThanOrEqualTo(MAX_LATE_RETRIES);
		}
		this.fleet.heal();
		this.fleet.run(5_000);
		long strikes = this.fleet.vms().getFirst().suspects.strikes(SimulatedSuspectFleet.CRASHING_REQUEST);
		assertThat(this.fleet.vms())
			.allMatch((vm) -> vm.suspects.strikes(SimulatedSuspectFleet.CRASHING_REQUEST) == strikes);
	}

	@Provide
	Arbitrary<List<Event>> events() {
		Arbitrary<EventKind> kinds = Arbitraries.frequencyOf(Tuple.of(4, Arbitraries.just(EventKind.REQUESTS)),
				Tuple.of(2, Arbitraries.of(EventKind.class)));
		return Combinators
			.combine(kinds, Arbitraries.integers().between(0, 2), Arbitraries.of(50L, 500L, 3_000L),
					Arbitraries.of(1_000L, 61_000L, 610_000L, 6_100_000L, 61_000_000L))
			.as(Event::new)
			.list()
			.ofMinSize(3)
			.ofMaxSize(20);
	}

	/**
	 * The kinds of events.
	 */
	enum EventKind {

		REQUESTS, RESTART, CUT, HEAL, PAUSE

	}

	/**
	 * An event.
	 *
	 * @param kind its kind
	 * @param region the region that it concerns
	 * @param spacingMs the time between two requests, in milliseconds
	 * @param pauseMs the duration of a pause, in milliseconds
	 */
	record Event(EventKind kind, int region, long spacingMs, long pauseMs) {
	}

}
