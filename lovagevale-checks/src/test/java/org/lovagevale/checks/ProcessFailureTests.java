package org.lovagevale.checks;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.standins.backend.BackendCounter;
import org.lovagevale.standins.backend.BackendStandIn;
import org.lovagevale.standins.caller.Call;
import org.lovagevale.standins.caller.CallResult;
import org.lovagevale.standins.caller.Caller;
import org.lovagevale.standins.caller.EntryAddress;
import org.lovagevale.standins.platform.OutageMode;
import reactor.core.publisher.Flux;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the invariants against failures of real entry processes: kills, pauses, outages
 * of the platform, crashing requests and planned stops.
 */
class ProcessFailureTests {

	/** Time after publication from which a domain gets no new work, in milliseconds. */
	private static final long OUT_LIMIT_MS = 3_000;

	private static final Duration PAUSE = Duration.ofSeconds(8);

	private static final int REQUESTS = 200;

	@TempDir
	private Path logs;

	private EntryFleet fleet;

	private EntryVm first;

	private EntryVm second;

	private EntryVm third;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new EntryFleet(this.logs);
		this.first = this.fleet.vms().get(0);
		this.second = this.fleet.vms().get(1);
		this.third = this.fleet.vms().get(2);
		this.fleet.awaitAllWarm();
	}

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	@Test
	void keyOfAKilledProcessIsUnknownElsewhereAndNeverRunsAgain() throws Exception {
		try (Caller caller = this.fleet.caller("transfers", "")) {
			EntryAddress owner = this.fleet.addressOf(caller, this.first);
			EntryAddress other = this.fleet.addressOf(caller, this.second);
			String key = Caller.newKey(owner);
			Call transfer = Call.post("/transfers", "move 10");
			assertThat(once(caller, transfer, owner, key).status()).isEqualTo(200);
			this.fleet.kill(this.first);
			CallResult resent = once(caller, transfer, other, key);
			assertThat(resent.outcome()).isEqualTo("unknown");
			this.fleet.start(this.first);
			this.fleet.awaitReady(this.first);
			assertThat(once(caller, transfer, owner, key).outcome()).as("next incarnation").isEqualTo("unknown");
			assertThat(this.fleet.backends().runs().runsOfKey(key)).isEqualTo(1);
		}
	}

	@Test
	void writesUnderKillsAndRestartsNeverRunTwice() throws Exception {
		try (Caller caller = this.fleet.caller("transfers", "")) {
			List<CallResult> results = new ArrayList<>();
			Thread load = Thread.ofVirtual().start(() -> results.addAll(sendMany(caller, "transfer")));
			Thread.sleep(500);
			this.fleet.kill(this.second);
			Thread.sleep(500);
			this.fleet.start(this.second);
			this.fleet.awaitReady(this.second);
			load.join();
			assertThat(results).hasSize(REQUESTS);
			assertThat(this.fleet.backends().runs().duplicateKeys()).isEmpty();
			for (CallResult result : results) {
				int runs = this.fleet.backends().runs().runsOfKey(result.key());
				if (result.outcome().equals("not-run")) {
					assertThat(runs).as("false not run of " + result.key()).isZero();
				}
			}
		}
	}

	@Test
	void pausedProcessSendsNothingToADomainTakenOutMeanwhile() throws Exception {
		try (Caller caller = this.fleet.caller("balances", "")) {
			EntryAddress paused = this.fleet.addressOf(caller, this.first);
			assertThat(once(caller, Call.get("/balances/1"), paused, "").status()).isEqualTo(200);
			this.fleet.signal(this.first, "STOP");
			long version = this.fleet.publish((tree) -> tree.replace("\"west-1\": {", "\"west-1\": { \"out\": true,"));
			Thread.sleep(PAUSE);
			long before = this.fleet.backend("balances-01").count(BackendCounter.RUNS);
			this.fleet.signal(this.first, "CONT");
			List<CallResult> results = Flux.range(0, REQUESTS)
				.flatMap((index) -> caller.sendOnce(Call.get("/balances/" + index), paused, "").onErrorComplete(), 16)
				.collectList()
				.blockOptional(EntryFleet.LIMIT)
				.orElseThrow();
			assertThat(this.fleet.backend("balances-01").count(BackendCounter.RUNS)).isEqualTo(before);
			assertThat(results).allMatch((result) -> result.status() == 200 || result.outcome().equals("not-run"));
			EntryFleet.await("adoption after the pause", () -> this.fleet.versionAt(this.first) == version);
		}
	}

	@Test
	void domainTakenOutGetsNoWorkAfterThreeSecondsAndNoCallFails() throws Exception {
		try (Caller caller = this.fleet.caller("balances", "")) {
			List<CallResult> results = new ArrayList<>();
			Thread load = Thread.ofVirtual().start(() -> results.addAll(readFor(caller, Duration.ofSeconds(8))));
			Thread.sleep(1_000);
			this.fleet.publish((tree) -> tree.replace("\"west-1\": {", "\"west-1\": { \"out\": true,"));
			Thread.sleep(OUT_LIMIT_MS);
			long atLimit = this.fleet.backend("balances-01").count(BackendCounter.RUNS);
			load.join();
			assertThat(this.fleet.backend("balances-01").count(BackendCounter.RUNS)).isEqualTo(atLimit);
			assertThat(results).isNotEmpty().allMatch(CallResult::isSuccess);
		}
	}

	@Test
	void outageOfThePlatformStopsNeitherServiceNorRestartsAndSettingsNeverRevert() throws Exception {
		long version = this.fleet.publish((tree) -> tree.replace("\"timeoutMs\": 2000", "\"timeoutMs\": 2500"));
		for (EntryVm vm : this.fleet.vms()) {
			EntryFleet.await("version at " + vm.name(), () -> this.fleet.versionAt(vm) == version);
		}
		this.fleet.platform().settings().serveStale(1, TimeUnit.MINUTES.toMillis(10));
		this.fleet.kill(this.third);
		this.fleet.start(this.third);
		this.fleet.awaitReady(this.third);
		assertThat(this.fleet.versionAt(this.third)).as("started while the platform is stale").isEqualTo(version);
		this.fleet.platform().outage(OutageMode.ERROR);
		Thread.sleep(4_000);
		try (Caller caller = this.fleet.caller("balances", "")) {
			assertThat(sendMany(caller, "read")).allMatch(CallResult::isSuccess);
		}
		for (EntryVm vm : this.fleet.vms()) {
			assertThat(this.fleet.versionAt(vm)).isEqualTo(version);
		}
	}

	@Test
	void requestThatCrashesServersIsRefusedAfterTwo() throws Exception {
		try (Caller caller = this.fleet.caller("balances", "")) {
			List<EntryAddress> addresses = caller.addresses().blockOptional(EntryFleet.LIMIT).orElseThrow().addresses();
			Call killer = Call.get("/balances/1").withHeader("X-Crash", "crash-me").withTimeoutMs(2_000);
			Map<String, Long> crashes = new TreeMap<>();
			for (int i = 0; i < 3 * addresses.size(); i++) {
				caller.sendOnce(killer, addresses.get(i % addresses.size()), "")
					.onErrorComplete()
					.block(EntryFleet.LIMIT);
			}
			for (BackendStandIn server : this.fleet.backends().servers()) {
				crashes.put(server.name(), server.count(BackendCounter.CRASHES));
			}
			long lost = crashes.values().stream().mapToLong(Long::longValue).sum();
			assertThat(lost).as("crashes by server " + crashes).isBetween(1L, 2L);
			CallResult refused = once(caller, killer, addresses.get(0), "");
			assertThat(refused.reason()).isEqualTo("quarantined");
			assertThat(refused.outcome()).isEqualTo("not-run");
		}
	}

	@Test
	void plannedStopFailsNoCall() throws Exception {
		try (Caller caller = this.fleet.caller("balances", "")) {
			List<CallResult> results = new ArrayList<>();
			Thread load = Thread.ofVirtual().start(() -> results.addAll(readFor(caller, Duration.ofSeconds(16))));
			Thread.sleep(1_000);
			this.fleet.signal(this.first, "TERM");
			assertThat(this.fleet.process(this.first).waitFor(30, TimeUnit.SECONDS)).isTrue();
			assertThat(this.fleet.process(this.first).exitValue()).isZero();
			load.join();
			assertThat(results).isNotEmpty().allMatch(CallResult::isSuccess);
			assertThat(results).extracting(CallResult::attempts).containsOnly(1);
		}
	}

	private static CallResult once(Caller caller, Call call, EntryAddress address, String key) {
		return caller.sendOnce(call, address, key).blockOptional(EntryFleet.LIMIT).orElseThrow();
	}

	private static List<CallResult> sendMany(Caller caller, String kind) {
		return Flux.range(0, REQUESTS)
			.delayElements(Duration.ofMillis(10))
			.flatMap((index) -> caller.send(kind.equals("read") ? Call.get("/balances/" + index)
					: Call.post("/transfers", kind + index).withTimeoutMs(10_000)), 8)
			.collectList()
			.blockOptional(EntryFleet.LIMIT)
			.orElseThrow();
	}

	private static List<CallResult> readFor(Caller caller, Duration time) {
		return Flux.interval(Duration.ofMillis(10))
			.onBackpressureDrop()
			.take(time)
			.flatMap((index) -> caller.send(Call.get("/balances/" + index)), 16)
			.collectList()
			.blockOptional(EntryFleet.LIMIT)
			.orElseThrow();
	}

}
