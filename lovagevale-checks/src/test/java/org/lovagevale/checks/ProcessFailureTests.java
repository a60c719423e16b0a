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
 * Tests the guarantees of the load balancer with real entry processes that are killed,
 * paused and stopped, with platform outages and with requests that crash servers.
 *
 * <p>
 * The tests guard against requests that run twice, work sent to a failure domain that was
 * taken out of service, settings that revert to an older version, and calls that fail
 * although a server could have answered.
 */
class ProcessFailureTests {

	/**
	 * Time in milliseconds from the publication of the settings that take a failure
	 * domain out of service until it gets no new work.
	 */
	private static final long DOMAIN_OUT_DEADLINE_MS = 3_000;

	private static final Duration PAUSE_DURATION = Duration.ofSeconds(8);

	private static final int REQUESTS = 200;

	@TempDir
	private Path logs;

	private EntryFleet fleet;

	private EntryVm firstVm;

	private EntryVm secondVm;

	private EntryVm thirdVm;

	@BeforeEach
	void start() throws Exception {
		this.fleet = new EntryFleet(this.logs);
		this.firstVm = this.fleet.vms().get(0);
		this.secondVm = this.fleet.vms().get(1);
		this.thirdVm = this.fleet.vms().get(2);
		this.fleet.awaitAllWarm();
	}

	@AfterEach
	void stop() {
		this.fleet.close();
	}

	// A killed process loses the records of its idempotency keys, so that a resent write
	// could run twice.
	@Test
	void keyOfAKilledProcessHasUnknownOutcomeElsewhereAndNeverRunsAgain() throws Exception {
		try (Caller caller = this.fleet.caller("transfers", "")) {
			EntryAddress owner = this.fleet.addressOf(caller, this.firstVm);
			EntryAddress other = this.fleet.addressOf(caller, this.secondVm);
			String key = Caller.newKey(owner);
			Call transfer = Call.post("/transfers", "move 10");
			assertThat(sendOnceAndWait(caller, transfer, owner, key).status()).isEqualTo(200);
			this.fleet.kill(this.firstVm);
			CallResult resent = sendOnceAndWait(caller, transfer, other, key);
			assertThat(resent.outcome()).isEqualTo("unknown");
			this.fleet.start(this.firstVm);
			this.fleet.awaitReady(this.firstVm);
			assertThat(sendOnceAndWait(caller, transfer, owner, key).outcome())
				.as("outcome at the next incarnation of the owner")
				.isEqualTo("unknown");
			assertThat(this.fleet.backends().runs().runsOfKey(key)).isEqualTo(1);
		}
	}

	// After a kill, a retry could run a write a second time, or a write that ran could be
	// reported as not run.
	@Test
	void writesUnderKillsAndRestartsNeverRunTwice() throws Exception {
		try (Caller caller = this.fleet.caller("transfers", "")) {
			List<CallResult> results = new ArrayList<>();
			Thread load = Thread.ofVirtual().start(() -> results.addAll(sendRequests(caller, "transfer")));
			Thread.sleep(500);
			this.fleet.kill(this.secondVm);
			Thread.sleep(500);
			this.fleet.start(this.secondVm);
			this.fleet.awaitReady(this.secondVm);
			load.join();
			assertThat(results).hasSize(REQUESTS);
			assertThat(this.fleet.backends().runs().duplicateKeys()).isEmpty();
			for (CallResult result : results) {
				int runs = this.fleet.backends().runs().runsOfKey(result.key());
				if (result.outcome().equals("not-run")) {
					assertThat(runs).as("runs of a call reported as not run, key " + result.key()).isZero();
				}
			}
		}
	}

	// A process that resumes after a pause still has the settings from before the
	// pause, which have the failure domain in service.
	@Test
	void pausedProcessSendsNothingToADomainTakenOutMeanwhile() throws Exception {
		try (Caller caller = this.fleet.caller("balances", "")) {
			EntryAddress paused = this.fleet.addressOf(caller, this.firstVm);
			assertThat(sendOnceAndWait(caller, Call.get("/balances/1"), paused, "").status()).isEqualTo(200);
			this.fleet.signal(this.firstVm, "STOP");
			long version = this.fleet.publish((tree) -> tree.replace("\"west-1\": {", "\"west-1\": { \"out\": true,"));
			Thread.sleep(PAUSE_DURATION);
			long runsBeforeResume = this.fleet.backend("balances-01").count(BackendCounter.RUNS);
			this.fleet.signal(this.firstVm, "CONT");
			List<CallResult> results = Flux.range(0, REQUESTS)
				.flatMap((index) -> caller.sendOnce(Call.get("/balances/" + index), paused, "").onErrorComplete(), 16)
				.collectList()
				.blockOptional(EntryFleet.TIMEOUT)
				.orElseThrow();
			assertThat(this.fleet.backend("balances-01").count(BackendCounter.RUNS)).isEqualTo(runsBeforeResume);
			assertThat(results).allMatch((result) -> result.status() == 200 || result.outcome().equals("not-run"));
			EntryFleet.await("adoption of the new settings after the pause",
					() -> this.fleet.settingsVersionOf(this.firstVm) == version);
		}
	}

	@Test
	void domainTakenOutGetsNoWorkAfterThreeSecondsAndNoCallFails() throws Exception {
		try (Caller caller = this.fleet.caller("balances", "")) {
			List<CallResult> results = new ArrayList<>();
			Thread load = Thread.ofVirtual().start(() -> results.addAll(sendReadsFor(caller, Duration.ofSeconds(8))));
			Thread.sleep(1_000);
			this.fleet.publish((tree) -> tree.replace("\"west-1\": {", "\"west-1\": { \"out\": true,"));
			Thread.sleep(DOMAIN_OUT_DEADLINE_MS);
			long runsAtDeadline = this.fleet.backend("balances-01").count(BackendCounter.RUNS);
			load.join();
			assertThat(this.fleet.backend("balances-01").count(BackendCounter.RUNS)).isEqualTo(runsAtDeadline);
			assertThat(results).isNotEmpty().allMatch(CallResult::isSuccess);
		}
	}

	// The platform serves outdated settings to a restarted process, which must still
	// start with the newest version. Then the platform responds to every request with
	// 503.
	@Test
	void outageOfThePlatformStopsNeitherServiceNorRestartsAndSettingsNeverRevert() throws Exception {
		long version = this.fleet.publish((tree) -> tree.replace("\"timeoutMs\": 2000", "\"timeoutMs\": 2500"));
		for (EntryVm vm : this.fleet.vms()) {
			EntryFleet.await("settings version at " + vm.name(), () -> this.fleet.settingsVersionOf(vm) == version);
		}
		this.fleet.platform().settings().serveStale(1, TimeUnit.MINUTES.toMillis(10));
		this.fleet.kill(this.thirdVm);
		this.fleet.start(this.thirdVm);
		this.fleet.awaitReady(this.thirdVm);
		assertThat(this.fleet.settingsVersionOf(this.thirdVm))
			.as("settings version of a process started while the platform serves old settings")
			.isEqualTo(version);
		this.fleet.platform().setOutage(OutageMode.ERROR);
		Thread.sleep(4_000);
		try (Caller caller = this.fleet.caller("balances", "")) {
			assertThat(sendRequests(caller, "read")).allMatch(CallResult::isSuccess);
		}
		for (EntryVm vm : this.fleet.vms()) {
			assertThat(this.fleet.settingsVersionOf(vm)).isEqualTo(version);
		}
	}

	// Retries of a request that crashes its server would crash one server after another.
	@Test
	void requestThatCrashesServersIsRefusedAfterTwo() throws Exception {
		try (Caller caller = this.fleet.caller("balances", "")) {
			List<EntryAddress> addresses = caller.addresses()
				.blockOptional(EntryFleet.TIMEOUT)
				.orElseThrow()
				.addresses();
			Call crashingCall = Call.get("/balances/1").withHeader("X-Crash", "crash-me").withTimeoutMs(2_000);
			Map<String, Long> crashes = new TreeMap<>();
			for (int i = 0; i < 3 * addresses.size(); i++) {
				caller.sendOnce(crashingCall, addresses.get(i % addresses.size()), "")
					.onErrorComplete()
					.block(EntryFleet.TIMEOUT);
			}
			for (BackendStandIn server : this.fleet.backends().servers()) {
				crashes.put(server.name(), server.count(BackendCounter.CRASHES));
			}
			long crashCount = crashes.values().stream().mapToLong(Long::longValue).sum();
			assertThat(crashCount).as("crashes by server " + crashes).isBetween(1L, 2L);
			CallResult refused = sendOnceAndWait(caller, crashingCall, addresses.get(0), "");
			assertThat(refused.reason()).isEqualTo("quarantined");
			assertThat(refused.outcome()).isEqualTo("not-run");
		}
	}

	@Test
	void plannedStopFailsNoCall() throws Exception {
		try (Caller caller = this.fleet.caller("balances", "")) {
			List<CallResult> results = new ArrayList<>();
			Thread load = Thread.ofVirtual().start(() -> results.addAll(sendReadsFor(caller, Duration.ofSeconds(16))));
			Thread.sleep(1_000);
			this.fleet.signal(this.firstVm, "TERM");
			assertThat(this.fleet.process(this.firstVm).waitFor(30, TimeUnit.SECONDS)).isTrue();
			assertThat(this.fleet.process(this.firstVm).exitValue()).isZero();
			load.join();
			assertThat(results).isNotEmpty().allMatch(CallResult::isSuccess);
			assertThat(results).extracting(CallResult::attempts).containsOnly(1);
		}
	}

	private static CallResult sendOnceAndWait(Caller caller, Call call, EntryAddress address, String key) {
		return caller.sendOnce(call, address, key).blockOptional(EntryFleet.TIMEOUT).orElseThrow();
	}

	private static List<CallResult> sendRequests(Caller caller, String kind) {
		return Flux.range(0, REQUESTS)
			.delayElements(Duration.ofMillis(10))
			.flatMap((index) -> caller.send(kind.equals("read") ? Call.get("/balances/" + index)
					: Call.post("/transfers", kind + index).withTimeoutMs(10_000)), 8)
			.collectList()
			.blockOptional(EntryFleet.TIMEOUT)
			.orElseThrow();
	}

	private static List<CallResult> sendReadsFor(Caller caller, Duration duration) {
		return Flux.interval(Duration.ofMillis(10))
			.onBackpressureDrop()
			.take(duration)
			.flatMap((index) -> caller.send(Call.get("/balances/" + index)), 16)
			.collectList()
			.blockOptional(EntryFleet.TIMEOUT)
			.orElseThrow();
	}

}
