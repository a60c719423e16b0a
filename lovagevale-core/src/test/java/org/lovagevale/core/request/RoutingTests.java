package org.lovagevale.core.request;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.Refuse;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.fleet.WorkPermission;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against dispatching a request to an unsuitable backend server or outside its
 * home regions.
 */
class RoutingTests {

	private final SingleServiceSettings settings = new SingleServiceSettings();

	@ParameterizedTest
	@ValueSource(strings = { "/vansx", "/", "/other", "/vans/../vans", "/vans/%2E%2e/x", "/vans/." })
	void refusesPathsWithoutRouteAndPathsWithDotSegments(String path) {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		assertThat(RequestHarness.firstRefusal(harness.request(1, "GET", path)).reason())
			.isEqualTo(RefusalReason.NO_SUCH_SERVICE);
	}

	@Test
	void prefersTheRegionOfThisVmAndThenServersWithTheFewestRequests() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		Set<String> used = new HashSet<>();
		used.addAll(RequestHarness.dispatchedServers(harness.request(1, "GET", "/vans")));
		used.addAll(RequestHarness.dispatchedServers(harness.request(2, "GET", "/vans/1")));
		assertThat(used).containsExactlyInAnyOrder("s0", "s2");
		assertThat(RequestHarness.firstDispatch(harness.request(3, "GET", "/vans")).selectionReason().rule())
			.isEqualTo("lowest-score");
	}

	@Test
	void usesAllServersOfTheRegionOfThisVmIfThereAreMany() {
		this.settings.servers = 40;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		Set<String> used = new HashSet<>();
		for (int id = 1; id <= 300; id++) {
			Dispatch dispatch = RequestHarness.firstDispatch(harness.request(id, "GET", "/vans"));
			assertThat(dispatch.selectionReason().rule()).isEqualTo("sampled-score");
			assertThat(dispatch.server().region()).isEqualTo(SingleServiceSettings.NORTH);
			used.add(dispatch.server().name().value());
			harness.answerHead(id, 1, 200, null);
			harness.endAnswer(id, 1, null);
		}
		assertThat(used).hasSize(20);
	}

	@Test
	void avoidsServerThatFailsQuickly() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		int requestsToFailingServer = 0;
		for (int id = 1; id <= 40; id++) {
			String server = RequestHarness.dispatchedServers(harness.request(id, "GET", "/vans")).get(0);
			harness.clock.advance(5);
			boolean failing = server.equals("s0");
			requestsToFailingServer += (failing) ? 1 : 0;
			harness.answerHead(id, 1, (failing) ? 500 : 200, RequestHarness.WARM_REPORT);
			harness.endAnswer(id, 1, null);
		}
		assertThat(requestsToFailingServer).isLessThan(5);
	}

	@Test
	void avoidsServerThatReportsRequestsOfOtherVms() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		String first = RequestHarness.dispatchedServers(harness.request(1, "GET", "/vans")).get(0);
		harness.answerHead(1, 1, 200, new LoadReport(3, 3, ServerState.WARM, "b1"));
		harness.endAnswer(1, 1, null);
		assertThat(RequestHarness.dispatchedServers(harness.request(2, "GET", "/vans"))).doesNotContain(first);
	}

	@Test
	void ejectsAtMostTheConfiguredShareOfServers() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		for (int id = 1; id <= 200; id++) {
			harness.request(id, "GET", "/vans");
			harness.clock.advance(5);
			harness.answerHead(id, 1, 500, null);
			harness.endAnswer(id, 1, null);
			assertThat(harness.logic.servers().stream().filter((server) -> server.ejected()).count())
				.isLessThanOrEqualTo(2);
		}
		assertThat(harness.lines).anyMatch((line) -> line.contains("server.ejected"));
	}

	@Test
	void sendsNothingToServersThatAreOutDrainingOrLeaving() {
		this.settings.outOfService.add(0);
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.fleet.leavingServers.add("s1");
		harness.request(1, "GET", "/vans");
		harness.answerHead(1, 1, 200, new LoadReport(1, 3, ServerState.DRAINING, "b1"));
		harness.endAnswer(1, 1, null);
		for (int id = 2; id < 5; id++) {
			assertThat(RequestHarness.dispatchedServers(harness.request(id, "GET", "/vans"))).containsExactly("s3");
		}
	}

	@Test
	void checksPlatformListAtEachDispatch() {
		this.settings.servers = 1;
		this.settings.queueMs = 0;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.fleet.leavingServers.add("s0");
		assertThat(RequestHarness.dispatchedServers(harness.request(1, "GET", "/vans"))).isEmpty();
	}

	@Test
	void refusesRequestOutsideItsHomeRegionsBeforeReadingTheBody() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		List<Decision> decisions = harness.apply(new HeadArrived(new RequestId(1),
				RequestHarness.requestHead("GET", "/vans", SingleServiceSettings.SOUTH_ACCOUNT, null)));
		assertThat(decisions).hasSize(1).allMatch(Refuse.class::isInstance);
		assertThat(RequestHarness.firstRefusal(decisions).reason()).isEqualTo(RefusalReason.OUTSIDE_HOME_REGIONS);
		assertThat(RequestHarness.firstRefusal(decisions).outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void keepsAttemptsInsideHomeRegions() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		Set<String> used = new HashSet<>();
		for (int id = 1; id <= 6; id++) {
			used.addAll(RequestHarness.dispatchedServers(harness.request(id,
					RequestHarness.requestHead("GET", "/vans", SingleServiceSettings.NORTH_ACCOUNT, null))));
		}
		used.addAll(RequestHarness.dispatchedServers(harness.rejectAttempt(1, 1)));
		assertThat(used).containsExactlyInAnyOrder("s0", "s2");
	}

	@Test
	void intersectsHomeRegionsOfAccountAndRoute() {
		this.settings.homeRegions = Set.of(SingleServiceSettings.SOUTH);
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		assertThat(RequestHarness
			.firstRefusal(harness.request(1,
					RequestHarness.requestHead("GET", "/vans", SingleServiceSettings.NORTH_ACCOUNT, null)))
			.reason()).isEqualTo(RefusalReason.OUTSIDE_HOME_REGIONS);
	}

	@Test
	void newSettingsApplyToQueuedRequests() {
		this.settings.servers = 1;
		this.settings.slots = 1;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.request(1, "GET", "/vans");
		harness.request(2, RequestHarness.requestHead("GET", "/vans", SingleServiceSettings.NORTH_ACCOUNT, null));
		assertThat(harness.logic.queued()).isEqualTo(1);
		this.settings.homeRegions = Set.of(SingleServiceSettings.SOUTH);
		harness.applySettings(this.settings);
		assertThat(harness.lines).anyMatch((line) -> line.contains("refuse 2 OUTSIDE_HOME_REGIONS NOT_RUN"));
	}

	@Test
	void dispatchesNothingWithoutPermission() {
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		harness.fleet.permission = WorkPermission.FENCED;
		assertThat(RequestHarness.firstRefusal(harness.request(1, "GET", "/vans")).reason())
			.isEqualTo(RefusalReason.FENCED);
		harness.fleet.permission = WorkPermission.OPEN;
		harness.apply(new HeadArrived(new RequestId(2), RequestHarness.requestHead("GET", "/vans", null, null)));
		harness.fleet.permission = WorkPermission.STOPPED;
		List<Decision> decisions = harness.request(2, RequestHarness.requestHead("GET", "/vans", null, null));
		assertThat(RequestHarness.dispatchedServers(decisions)).isEmpty();
		assertThat(RequestHarness.firstRefusal(decisions).reason()).isEqualTo(RefusalReason.STOPPING);
	}

	@Test
	void checksThePermissionAgainAfterSelectingAServer() {
		for (int permissionChecks = 0; permissionChecks < 5; permissionChecks++) {
			RequestHarness harness = RequestHarness.withWarmServers(this.settings);
			harness.fleet.permissionChecksUntilFenced = permissionChecks;
			List<Decision> decisions = harness.request(1, "GET", "/vans");
			boolean fenced = harness.fleet.permissionChecksUntilFenced < 0;
			assertThat(RequestHarness.dispatchedServers(decisions)).hasSize((fenced) ? 0 : 1);
		}
	}

	@Test
	void limitsRequestsToTheConnectionsThatTheServerAccepts() {
		this.settings.connections = 1;
		this.settings.servers = 1;
		this.settings.queueMs = 0;
		RequestHarness harness = RequestHarness.withWarmServers(this.settings);
		assertThat(RequestHarness.dispatchedServers(harness.request(1, "GET", "/vans"))).containsExactly("s0");
		assertThat(RequestHarness.firstRefusal(harness.request(2, "GET", "/vans")).reason())
			.isEqualTo(RefusalReason.OVERLOADED);
	}

}
