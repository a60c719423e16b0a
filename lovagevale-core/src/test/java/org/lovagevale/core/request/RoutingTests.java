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
 * Guards against requests that are dispatched to unsuitable backend servers or outside
 * the home regions.
 */
class RoutingTests {

	private final TestSettings settings = new TestSettings();

	@ParameterizedTest
	@ValueSource(strings = { "/vansx", "/", "/other", "/vans/../vans", "/vans/%2E%2e/x", "/vans/." })
	void refusesUnroutedAndAmbiguousPaths(String path) {
		Session session = Session.warm(this.settings);
		assertThat(Session.refusal(session.request(1, "GET", path)).reason()).isEqualTo(RefusalReason.NO_SUCH_SERVICE);
	}

	@Test
	void prefersTheRegionOfThisVmAndThenTheLeastOwnRequests() {
		Session session = Session.warm(this.settings);
		Set<String> used = new HashSet<>();
		used.addAll(Session.servers(session.request(1, "GET", "/vans")));
		used.addAll(Session.servers(session.request(2, "GET", "/vans/1")));
		assertThat(used).containsExactlyInAnyOrder("s0", "s2");
		assertThat(Session.dispatch(session.request(3, "GET", "/vans")).selectionReason().rule())
			.isEqualTo("lowest-score");
	}

	@Test
	void staysInTheRegionWithManyServersAndUsesAllOfThem() {
		this.settings.servers = 40;
		Session session = Session.warm(this.settings);
		Set<String> used = new HashSet<>();
		for (int id = 1; id <= 300; id++) {
			Dispatch dispatch = Session.dispatch(session.request(id, "GET", "/vans"));
			assertThat(dispatch.selectionReason().rule()).isEqualTo("sampled-score");
			assertThat(dispatch.server().region()).isEqualTo(TestSettings.NORTH);
			used.add(dispatch.server().name().value());
			session.answer(id, 1, 200, null);
			session.end(id, 1, null);
		}
		assertThat(used).hasSize(20);
	}

	@Test
	void avoidsServerThatFailsFast() {
		Session session = Session.warm(this.settings);
		int onFailing = 0;
		for (int id = 1; id <= 40; id++) {
			String server = Session.servers(session.request(id, "GET", "/vans")).get(0);
			session.clock.advance(5);
			boolean failing = server.equals("s0");
			onFailing += (failing) ? 1 : 0;
			session.answer(id, 1, (failing) ? 500 : 200, Session.WARM);
			session.end(id, 1, null);
		}
		assertThat(onFailing).isLessThan(5);
	}

	@Test
	void avoidsServerThatReportsLoadOfOthers() {
		Session session = Session.warm(this.settings);
		String first = Session.servers(session.request(1, "GET", "/vans")).get(0);
		session.answer(1, 1, 200, new LoadReport(3, 3, ServerState.WARM, "b1"));
		session.end(1, 1, null);
		assertThat(Session.servers(session.request(2, "GET", "/vans"))).doesNotContain(first);
	}

	@Test
	void ejectsAtMostTheConfiguredShare() {
		Session session = Session.warm(this.settings);
		for (int id = 1; id <= 200; id++) {
			session.request(id, "GET", "/vans");
			session.clock.advance(5);
			session.answer(id, 1, 500, null);
			session.end(id, 1, null);
			assertThat(session.logic.servers().stream().filter((server) -> server.ejected()).count())
				.isLessThanOrEqualTo(2);
		}
		assertThat(session.lines).anyMatch((line) -> line.contains("server.ejected"));
	}

	@Test
	void sendsNothingToServersThatAreOutDrainingOrLeaving() {
		this.settings.out.add(0);
		Session session = Session.warm(this.settings);
		session.fleet.leaving.add("s1");
		session.request(1, "GET", "/vans");
		session.answer(1, 1, 200, new LoadReport(1, 3, ServerState.DRAINING, "b1"));
		session.end(1, 1, null);
		for (int id = 2; id < 5; id++) {
			assertThat(Session.servers(session.request(id, "GET", "/vans"))).containsExactly("s3");
		}
	}

	@Test
	void checksPlatformListAtEachDispatch() {
		this.settings.servers = 1;
		this.settings.queueMs = 0;
		Session session = Session.warm(this.settings);
		session.fleet.leaving.add("s0");
		assertThat(Session.servers(session.request(1, "GET", "/vans"))).isEmpty();
	}

	@Test
	void refusesOutsideHomeRegionsBeforeReadingTheBody() {
		Session session = Session.warm(this.settings);
		List<Decision> decisions = session
			.apply(new HeadArrived(new RequestId(1), Session.head("GET", "/vans", TestSettings.ABROAD, null)));
		assertThat(decisions).hasSize(1).allMatch(Refuse.class::isInstance);
		assertThat(Session.refusal(decisions).reason()).isEqualTo(RefusalReason.OUTSIDE_HOME_REGIONS);
		assertThat(Session.refusal(decisions).outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Test
	void keepsAttemptsInsideHomeRegions() {
		Session session = Session.warm(this.settings);
		Set<String> used = new HashSet<>();
		for (int id = 1; id <= 6; id++) {
			used.addAll(Session.servers(session.request(id, Session.head("GET", "/vans", TestSettings.LOCAL, null))));
		}
		used.addAll(Session.servers(session.shed(1, 1)));
		assertThat(used).containsExactlyInAnyOrder("s0", "s2");
	}

	@Test
	void intersectsHomeRegionsOfAccountAndRoute() {
		this.settings.homeRegions = Set.of(TestSettings.SOUTH);
		Session session = Session.warm(this.settings);
		assertThat(Session.refusal(session.request(1, Session.head("GET", "/vans", TestSettings.LOCAL, null))).reason())
			.isEqualTo(RefusalReason.OUTSIDE_HOME_REGIONS);
	}

	@Test
	void newSettingsApplyToRequestsThatWait() {
		this.settings.servers = 1;
		this.settings.slots = 1;
		Session session = Session.warm(this.settings);
		session.request(1, "GET", "/vans");
		session.request(2, Session.head("GET", "/vans", TestSettings.LOCAL, null));
		assertThat(session.logic.queued()).isEqualTo(1);
		this.settings.homeRegions = Set.of(TestSettings.SOUTH);
		session.applySettings(this.settings);
		assertThat(session.lines).anyMatch((line) -> line.contains("refuse 2 OUTSIDE_HOME_REGIONS NOT_RUN"));
	}

	@Test
	void startsNoWorkWithoutPermission() {
		Session session = Session.warm(this.settings);
		session.fleet.permission = WorkPermission.FENCED;
		assertThat(Session.refusal(session.request(1, "GET", "/vans")).reason()).isEqualTo(RefusalReason.FENCED);
		session.fleet.permission = WorkPermission.OPEN;
		session.apply(new HeadArrived(new RequestId(2), Session.head("GET", "/vans", null, null)));
		session.fleet.permission = WorkPermission.STOPPED;
		List<Decision> decisions = session.request(2, Session.head("GET", "/vans", null, null));
		assertThat(Session.servers(decisions)).isEmpty();
		assertThat(Session.refusal(decisions).reason()).isEqualTo(RefusalReason.STOPPING);
	}

	@Test
	void checksThePermissionAfterTheChoice() {
		for (int calls = 0; calls < 5; calls++) {
			Session session = Session.warm(this.settings);
			session.fleet.callsUntilFenced = calls;
			List<Decision> decisions = session.request(1, "GET", "/vans");
			boolean closed = session.fleet.callsUntilFenced < 0;
			assertThat(Session.servers(decisions)).hasSize((closed) ? 0 : 1);
		}
	}

	@Test
	void usesOneConnectionIfServerAcceptsFewerThanThereAreVms() {
		this.settings.connections = 1;
		this.settings.servers = 1;
		this.settings.queueMs = 0;
		Session session = Session.warm(this.settings);
		assertThat(Session.servers(session.request(1, "GET", "/vans"))).containsExactly("s0");
		assertThat(Session.refusal(session.request(2, "GET", "/vans")).reason()).isEqualTo(RefusalReason.OVERLOADED);
	}

}
