package org.lovagevale.core.request;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.Probe;
import org.lovagevale.core.event.ProbeEnded;
import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.core.message.ServerEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against overloading a backend server that is cold or whose state is unknown, and
 * against exceeding the probe budget.
 */
class ColdStartTests {

	private final SingleServiceSettings settings = new SingleServiceSettings();

	ColdStartTests() {
		this.settings.servers = 1;
		this.settings.queueMs = 0;
	}

	@Test
	void sendsToUnknownServerOnlyWhileOwnedAndWithShortenedTimeout() {
		RequestHarness harness = RequestHarness.withUnknownServers(this.settings);
		assertThat(RequestHarness.firstRefusal(harness.request(1, "GET", "/vans")).reason())
			.isEqualTo(RefusalReason.NO_SERVER);
		harness.fleet.ownedMsByServer.put("s0", 199L);
		harness.tickAfter(50);
		assertThat(RequestHarness.dispatchedServers(harness.request(2, "GET", "/vans"))).isEmpty();
		harness.fleet.ownedMsByServer.put("s0", 300L);
		harness.tickAfter(50);
		Dispatch dispatch = RequestHarness.firstDispatch(harness.request(3, "GET", "/vans"));
		assertThat(dispatch.timeoutMs()).isEqualTo(300);
		assertThat(dispatch.deadlineEpochMillis()).isEqualTo(harness.clock.epochMillis() + 300);
		assertThat(dispatch.selectionReason().rule()).isEqualTo("cold-owner");
	}

	// Guards against lost uploads: an upload of 16 MiB to a cold server was cut off when
	// the ownership window ended, and its body was too large to be sent again.
	@Test
	void sendsBodyThatCannotBeResentOnlyWithFullTimeout() {
		RequestHarness harness = RequestHarness.withUnknownServers(this.settings);
		harness.fleet.ownedMsByServer.put("s0", 300L);
		RequestHead upload = new RequestHead("GET", "/vans", "", null, null, 0, false,
				RequestHead.MAX_RESENDABLE_BODY_BYTES + 1, "127.0.0.1");
		assertThat(RequestHarness.dispatchedServers(harness.request(1, upload))).isEmpty();
		RequestHead shortUpload = new RequestHead("GET", "/vans", "", null, null, 300, false,
				RequestHead.MAX_RESENDABLE_BODY_BYTES + 1, "127.0.0.1");
		assertThat(RequestHarness.dispatchedServers(harness.request(2, shortUpload))).hasSize(1);
	}

	@Test
	void limitsConcurrentRequestsToUnknownServer() {
		this.settings.coldConcurrency = 2;
		RequestHarness harness = RequestHarness.withUnknownServers(this.settings);
		harness.fleet.ownedMsByServer.put("s0", 4_000L);
		assertThat(RequestHarness.dispatchedServers(harness.request(1, "GET", "/vans"))).hasSize(1);
		assertThat(RequestHarness.dispatchedServers(harness.request(2, "GET", "/vans"))).hasSize(1);
		assertThat(RequestHarness.dispatchedServers(harness.request(3, "GET", "/vans"))).isEmpty();
	}

	@Test
	void countsCancelledRequestUntilServerNoticesTheCancellation() {
		RequestHarness harness = RequestHarness.withUnknownServers(this.settings);
		harness.fleet.ownedMsByServer.put("s0", 4_000L);
		harness.request(1, "GET", "/vans");
		harness.disconnectCaller(1);
		assertThat(RequestHarness.dispatchedServers(harness.request(2, "GET", "/vans"))).isEmpty();
		harness.clock.advance(100);
		assertThat(RequestHarness.dispatchedServers(harness.request(3, "GET", "/vans"))).hasSize(1);
	}

	@Test
	void serverBecomesWarmAfterTwoWarmReports() {
		RequestHarness harness = RequestHarness.withUnknownServers(this.settings);
		harness.fleet.ownedMsByServer.put("s0", 4_000L);
		completeRequest(harness, 1, RequestHarness.WARM_REPORT);
		assertThat(harness.serverState(0)).isEqualTo(ServerState.UNKNOWN);
		completeRequest(harness, 2, RequestHarness.WARM_REPORT);
		assertThat(harness.serverState(0)).isEqualTo(ServerState.WARM);
	}

	@Test
	void serverBecomesWarmAfterSuccessfulResponsesWithoutReports() {
		this.settings.warmAfterAnswers = 3;
		RequestHarness harness = RequestHarness.withUnknownServers(this.settings);
		harness.fleet.ownedMsByServer.put("s0", 4_000L);
		completeRequest(harness, 1, null);
		completeRequest(harness, 2, null);
		assertThat(harness.serverState(0)).isEqualTo(ServerState.UNKNOWN);
		completeRequest(harness, 3, null);
		assertThat(harness.serverState(0)).isEqualTo(ServerState.WARM);
	}

	@Test
	void serverBecomesUnknownWhenItRestartsOrCannotBeConnectedTo() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		completeRequest(harness, 1, new LoadReport(1, 3, ServerState.WARM, "b2"));
		assertThat(harness.serverState(0)).isEqualTo(ServerState.UNKNOWN);
		harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "GET", "/vans");
		harness.failAttempt(1, 1, FailureKind.NOT_CONNECTED);
		assertThat(harness.serverState(0)).isEqualTo(ServerState.UNKNOWN);
		assertThat(harness.lines).contains("  . tell s0 UNKNOWN");
	}

	@Test
	void serverBecomesUnknownAfterThreeMuchSlowerResponses() {
		this.settings.servers = 2;
		this.settings.outOfService.add(1);
		this.settings.ejectMaxPercent = 100;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		for (int id = 1; id <= 13; id++) {
			harness.request(id, "GET", "/vans");
			harness.clock.advance((id > 10) ? 100 : 10);
			harness.answerHead(id, 1, 200, RequestHarness.WARM_REPORT);
			harness.endAnswer(id, 1, null);
			assertThat(harness.serverState(0)).isEqualTo((id == 13) ? ServerState.UNKNOWN : ServerState.WARM);
		}
	}

	@Test
	void returningServerStartsUnknownAndIgnoresOlderReportsOfPeers() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		this.settings.outOfService.add(0);
		harness.applySettings(this.settings);
		harness.tickAfter(5_000);
		this.settings.outOfService.clear();
		harness.applySettings(this.settings);
		harness.fleet.peerReports.put("s0", new ServerEntry("s0", "WARM", "b1", 4_000));
		harness.tickAfter(1_000);
		assertThat(harness.serverState(0)).isEqualTo(ServerState.UNKNOWN);
		harness.fleet.peerReports.put("s0", new ServerEntry("s0", "WARM", "b1", 100));
		harness.tickAfter(50);
		assertThat(harness.serverState(0)).isEqualTo(ServerState.WARM);
		harness.fleet.peerReports.put("s0", new ServerEntry("s0", "COLD", "b2", 0));
		harness.tickAfter(50);
		assertThat(harness.serverState(0)).isEqualTo(ServerState.COLD);
	}

	@Test
	void drainingServerIsProbedBeforeItGetsRequestsAgain() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.fleet.ownedMsByServer.put("s0", 4_000L);
		completeRequest(harness, 1, new LoadReport(0, 3, ServerState.DRAINING, "b1"));
		assertThat(probesWithin(harness, 20_000)).isEmpty();
		assertThat(probesWithin(harness, 10_200)).hasSize(1);
		assertThat(RequestHarness.dispatchedServers(harness.request(2, "GET", "/vans"))).isEmpty();
		harness.apply(new ProbeEnded(this.settings.backendServer(0).name(), RequestHarness.WARM_REPORT));
		assertThat(RequestHarness.dispatchedServers(harness.request(3, "GET", "/vans"))).containsExactly("s0");
	}

	@Test
	void probesOnlyQuietOwnedServersWithinTheBudget() {
		this.settings.servers = 3;
		this.settings.outOfService.add(2);
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		assertThat(probesWithin(harness, 4_000)).isEmpty();
		harness.fleet.ownedMsByServer.put("s0", 4_000L);
		harness.fleet.ownedMsByServer.put("s2", 4_000L);
		harness.fleet.permission = WorkPermission.FENCED;
		assertThat(probesWithin(harness, 4_000)).isEmpty();
		harness.fleet.permission = WorkPermission.OPEN;
		List<Probe> probes = probesWithin(harness, 60_000);
		assertThat(probes).allMatch((probe) -> probe.server().name().value().equals("s0"));
		// The budget allows one probe in each window of 5 s. One minute overlaps
		// 12 windows, or 13 if it does not start together with a window.
		assertThat(probes).hasSizeBetween(12, 13);
	}

	private static List<Probe> probesWithin(RequestHarness harness, long durationMs) {
		List<Probe> probes = new ArrayList<>();
		for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
			for (Decision decision : harness.tickAfter(50)) {
				if (decision instanceof Probe probe) {
					probes.add(probe);
				}
			}
		}
		return probes;
	}

	private static void completeRequest(RequestHarness harness, long id, LoadReport report) {
		harness.request(id, "GET", "/vans");
		harness.answerHead(id, 1, 200, report);
		harness.endAnswer(id, 1, null);
	}

}
