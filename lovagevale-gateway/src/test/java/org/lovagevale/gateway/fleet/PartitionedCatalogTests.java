package org.lovagevale.gateway.fleet;

import java.util.List;
import java.util.Objects;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagevale.base.VmName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that use servers which left while the VM was cut off, and against
 * VMs that drop live servers whose entries expired during an outage of the store.
 */
class PartitionedCatalogTests {

	private static final int SERVERS = 6;

	private SimulatedCatalogFleet fleet;

	private CatalogObserver observer;

	PartitionedCatalogTests() {
		start(false);
	}

	/**
	 * Starts the fleet and its servers.
	 * @param holding whether messages on a cut link are held in place of lost
	 */
	private void start(boolean holding) {
		this.fleet = new SimulatedCatalogFleet(holding, "w1", "w2", "w3", "w4", "e1", "e2", "e3");
		this.observer = new CatalogObserver(this.fleet);
		for (int server = 0; server < SERVERS; server++) {
			this.fleet.store.start("s" + server);
		}
		this.fleet.run(6_000);
	}

	private void run(long durationMs) {
		this.fleet.run(durationMs, this.observer::check);
	}

	// Guards against servers that are kept without end by VMs that were cut off.
	@ParameterizedTest
	@CsvSource({ "1500, w1, w2", "3500, w1, w2", "3500, w3, w4", "5500, w2, w3", "5500, w1, w4", "5500, e1, e3",
			"8000, w3, e2", "12000, w2, w4" })
	void serversThatLeaveDuringACutAreDropped(long cutMs, String one, String other) {
		this.fleet.vm(one).cut(cutMs);
		this.fleet.vm(other).cut(cutMs);
		run(1_000);
		this.fleet.store.leave("s1");
		run(cutMs + 20_000);
		assertThat(this.fleet.vms.values()).noneMatch((vm) -> vm.lists("s1", 100_000));
	}

	@ParameterizedTest
	@ValueSource(longs = { 3_500, 5_500, 12_000 })
	void serversThatLeaveWhileARegionIsCutOffAreDropped(long cutMs) {
		this.fleet.vmsOf("west").forEach((vm) -> {
			vm.cutFromStoreUntil = this.fleet.clock.millis() + cutMs;
			vm.cutFromRegionsUntil = vm.cutFromStoreUntil;
		});
		run(1_000);
		this.fleet.store.leave("s1");
		run(cutMs + 20_000);
	}

	@ParameterizedTest
	@CsvSource({ "4500, 0", "6000, 0", "6000, 9000", "20000, 25000", "6000, 3000" })
	void liveServersStayThroughAnOutageOfTheStore(long outageMs, long cutMs) {
		this.fleet.vm("w1").cut(cutMs);
		this.fleet.vm("e2").cut(cutMs);
		this.fleet.store.takeDown(outageMs);
		run(Math.max(outageMs, cutMs) + 20_000);
	}

	@Test
	void liveServersStayWhenTheStoreGoesDownAgainSoonAfterItsReturn() {
		for (int outage = 0; outage < 5; outage++) {
			this.fleet.store.takeDown(6_000);
			run(6_000 + 300 + outage * 400);
		}
		run(20_000);
	}

	// Guards against a VM that takes the end of its own cut for isolation while news that
	// were held tell it of servers whose deadline has passed meanwhile.
	@Test
	void liveServersStayWhenHeldNewsArriveAfterTheirDeadline() {
		start(true);
		this.fleet.store.takeDown(7_769);
		run(6_950);
		this.fleet.vm("w2").cut(7_594);
		run(24_000);
	}

	// Guards against a VM that takes failed reads of an outage that is over for its own
	// isolation when it is cut off from its peers.
	@ParameterizedTest
	@ValueSource(longs = { 0, 300, 600, 900 })
	void liveServersStayAtAVmThatIsCutOffFromItsPeersAfterAnOutage(long returnedMs) {
		this.fleet.store.takeDown(6_000);
		run(6_000 + returnedMs);
		SimulatedCatalogFleet.Vm vm = this.fleet.vm("w3");
		vm.cutFromPeersUntil = this.fleet.clock.millis() + 4_000;
		run(20_000);
	}

	// Guards against a reader that is replaced late since its successors could not read
	// the store during the outage either.
	@Test
	void serverThatCrashedInAnOutageIsDroppedWhenTheReaderIsCutOffAfterIt() {
		start(true);
		this.fleet.store.takeDown(4_101);
		this.fleet.vm("e1").cut(200);
		run(1_450);
		this.fleet.vm("w2").restart();
		run(100);
		this.fleet.vm("e1").cut(200);
		run(100);
		this.fleet.store.crash("s0");
		run(50);
		this.fleet.vm("w2").cutFromPeersUntil = this.fleet.clock.millis() + 234;
		run(100);
		this.fleet.vm("w1").restart();
		this.fleet.vm("e1").cutFromStoreUntil = this.fleet.clock.millis() + 214;
		run(4_650);
		long until = this.fleet.clock.millis() + 5_844;
		this.fleet.vmsOf("east").forEach((vm) -> {
			vm.cutFromStoreUntil = until;
			vm.cutFromRegionsUntil = until;
		});
		run(16_000);
	}

	// Guards against a period of contact that begins anew with a reader which had news of
	// its predecessor only once.
	@Test
	void serverThatLeavesBeforeAnOutageIsDroppedWhenTheReaderIsCutOff() {
		start(true);
		this.fleet.vm("e1").cut(200);
		run(50);
		this.fleet.store.leave("s0");
		this.fleet.store.takeDown(2_401);
		this.fleet.vm("e3").cut(5_401);
		run(16_000);
	}

	// Guards against servers that come back through the catalog of a VM that was cut off.
	@Test
	void processThatStartsAfterACutDoesNotListServersThatHadLeft() {
		this.fleet.vm("w1").cut(5_500);
		this.fleet.vm("w2").cut(5_500);
		run(1_000);
		this.fleet.store.leave("s1");
		run(4_600);
		this.fleet.vm("w3").restart();
		this.fleet.vm("w4").restart();
		run(20_000);
	}

	@Test
	void serverThatStartsAgainUnderItsNameDuringACutIsListed() {
		this.fleet.vm("w1").cut(5_500);
		run(1_000);
		this.fleet.store.leave("s1");
		run(2_000);
		this.fleet.store.restart("s1");
		run(10_000);
		long startedAt = Objects.requireNonNull(this.fleet.store.find("s1")).startedAt;
		assertThat(this.fleet.vms.values()).allMatch((vm) -> vm.lists("s1", startedAt));
	}

	@Property(seed = "20261207", tries = 150, shrinking = ShrinkingMode.BOUNDED)
	void allVmsListTheSameServersAfterAnySequenceOfFaults(@ForAll boolean holding,
			@ForAll("sequences") List<Step> steps) {
		start(holding);
		steps.forEach(this::play);
		run(16_000);
		for (SimulatedCatalogFleet.Vm vm : this.fleet.vms.values()) {
			this.fleet.store.servers()
				.forEach((name, server) -> assertThat(vm.lists(name, server.startedAt)).as("%s lists %s", vm, name)
					.isEqualTo(server.live));
		}
	}

	@Provide
	Arbitrary<List<Step>> sequences() {
		Arbitrary<Step> step = Combinators
			.combine(Arbitraries.of(Fault.class), Arbitraries.integers().between(0, 11),
					Arbitraries.longs().between(200, 9_000), Arbitraries.longs().between(0, 5_000))
			.as(Step::new);
		return step.list().ofMinSize(2).ofMaxSize(10);
	}

	private void play(Step step) {
		List<VmName> names = List.copyOf(this.fleet.vms.keySet());
		SimulatedCatalogFleet.Vm vm = this.fleet.vm(names.get(step.target % names.size()).value());
		String server = "s" + step.target % SERVERS;
		long until = this.fleet.clock.millis() + step.durationMs;
		switch (step.fault) {
			case CUT -> vm.cut(step.durationMs);
			case CUT_FROM_STORE -> vm.cutFromStoreUntil = Math.max(vm.cutFromStoreUntil, until);
			case CUT_FROM_PEERS -> vm.cutFromPeersUntil = Math.max(vm.cutFromPeersUntil, until);
			case REGION_CUT -> this.fleet.vmsOf(vm.region.value()).forEach((member) -> {
				member.cutFromRegionsUntil = Math.max(member.cutFromRegionsUntil, until);
				member.cutFromStoreUntil = Math.max(member.cutFromStoreUntil, until);
			});
			case STORE_DOWN -> this.fleet.store.takeDown(step.durationMs);
			case SERVER_LEAVES -> this.fleet.store.leave(server);
			case SERVER_CRASHES -> this.fleet.store.crash(server);
			case SERVER_RESTARTS -> this.fleet.store.restart(server);
			case PROCESS_RESTARTS -> vm.restart();
		}
		run(step.pauseMs);
	}

	/** What happens in a step. */
	enum Fault {

		CUT, CUT_FROM_STORE, CUT_FROM_PEERS, REGION_CUT, STORE_DOWN, SERVER_LEAVES, SERVER_CRASHES, SERVER_RESTARTS,
		PROCESS_RESTARTS

	}

	/**
	 * A fault and the time until the next one.
	 *
	 * @param fault the fault
	 * @param target selects the VM or the server
	 * @param durationMs how long the fault lasts, in milliseconds
	 * @param pauseMs the time until the next step, in milliseconds
	 */
	record Step(Fault fault, int target, long durationMs, long pauseMs) {
	}

}
