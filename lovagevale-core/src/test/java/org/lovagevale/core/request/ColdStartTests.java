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
 * Guards against more load on a cold backend server than it can handle, and against
 * probes beyond their budget.
 */
class ColdStartTests {

	private final TestSettings settings = new TestSettings();

	ColdStartTests() {
		this.settings.servers = 1;
		this.settings.queueMs = 0;
	}

	@Test
	void sendsOnlyWhileOwnedAndWithShortenedDeadline() {
		Session session = Session.cold(this.settings);
		assertThat(Session.refusal(session.request(1, "GET", "/vans")).reason()).isEqualTo(RefusalReason.NO_SERVER);
		session.fleet.ownedMs.put("s0", 199L);
		session.tickAfter(50);
		assertThat(Session.servers(session.request(2, "GET", "/vans"))).isEmpty();
		session.fleet.ownedMs.put("s0", 300L);
		session.tickAfter(50);
		Dispatch dispatch = Session.dispatch(session.request(3, "GET", "/vans"));
		assertThat(dispatch.timeoutMs()).isEqualTo(300);
		assertThat(dispatch.deadlineEpochMillis()).isEqualTo(session.clock.epochMillis() + 300);
		assertThat(dispatch.selectionReason().rule()).isEqualTo("cold-owner");
	}

	// Guards against lost uploads: the end of the cold window cut off an upload of 16 MiB
	// to a cold server, and the body could not be sent again.
	@Test
	void sendsBodyThatIsNotReplayableOnlyWithFullTimeout() {
		Session session = Session.cold(this.settings);
		session.fleet.ownedMs.put("s0", 300L);
		RequestHead upload = new RequestHead("GET", "/vans", "", null, null, 0, false,
				RequestHead.MAX_RESENDABLE_BODY_BYTES + 1, "127.0.0.1");
		assertThat(Session.servers(session.request(1, upload))).isEmpty();
		RequestHead brief = new RequestHead("GET", "/vans", "", null, null, 300, false,
				RequestHead.MAX_RESENDABLE_BODY_BYTES + 1, "127.0.0.1");
		assertThat(Session.servers(session.request(2, brief))).hasSize(1);
	}

	@Test
	void respectsColdConcurrency() {
		this.settings.coldConcurrency = 2;
		Session session = Session.cold(this.settings);
		session.fleet.ownedMs.put("s0", 4_000L);
		assertThat(Session.servers(session.request(1, "GET", "/vans"))).hasSize(1);
		assertThat(Session.servers(session.request(2, "GET", "/vans"))).hasSize(1);
		assertThat(Session.servers(session.request(3, "GET", "/vans"))).isEmpty();
	}

	@Test
	void holdsColdCapacityUntilServerNoticesCancellation() {
		Session session = Session.cold(this.settings);
		session.fleet.ownedMs.put("s0", 4_000L);
		session.request(1, "GET", "/vans");
		session.callerGone(1);
		assertThat(Session.servers(session.request(2, "GET", "/vans"))).isEmpty();
		session.clock.advance(100);
		assertThat(Session.servers(session.request(3, "GET", "/vans"))).hasSize(1);
	}

	@Test
	void becomesWarmAfterTwoReports() {
		Session session = Session.cold(this.settings);
		session.fleet.ownedMs.put("s0", 4_000L);
		run(session, 1, Session.WARM);
		assertThat(session.state(0)).isEqualTo(ServerState.UNKNOWN);
		run(session, 2, Session.WARM);
		assertThat(session.state(0)).isEqualTo(ServerState.WARM);
	}

	@Test
	void becomesWarmAfterGoodAnswersWithoutReports() {
		this.settings.warmAfterAnswers = 3;
		Session session = Session.cold(this.settings);
		session.fleet.ownedMs.put("s0", 4_000L);
		run(session, 1, null);
		run(session, 2, null);
		assertThat(session.state(0)).isEqualTo(ServerState.UNKNOWN);
		run(session, 3, null);
		assertThat(session.state(0)).isEqualTo(ServerState.WARM);
	}

	@Test
	void becomesUnknownWhenItStartsAgainOrLosesConnections() {
		Session session = Session.warm(this.settings);
		run(session, 1, new LoadReport(1, 3, ServerState.WARM, "b2"));
		assertThat(session.state(0)).isEqualTo(ServerState.UNKNOWN);
		session = Session.warm(this.settings);
		session.request(1, "GET", "/vans");
		session.fail(1, 1, FailureKind.NOT_CONNECTED);
		assertThat(session.state(0)).isEqualTo(ServerState.UNKNOWN);
		assertThat(session.lines).contains("  . tell s0 UNKNOWN");
	}

	@Test
	void becomesUnknownAfterThreeMuchSlowerResponsesButNotTheWholeService() {
		this.settings.servers = 2;
		this.settings.out.add(1);
		this.settings.ejectMaxPercent = 100;
		Session session = Session.warm(this.settings);
		for (int id = 1; id <= 13; id++) {
			session.request(id, "GET", "/vans");
			session.clock.advance((id > 10) ? 100 : 10);
			session.answer(id, 1, 200, Session.WARM);
			session.end(id, 1, null);
			assertThat(session.state(0)).isEqualTo((id == 13) ? ServerState.UNKNOWN : ServerState.WARM);
		}
	}

	@Test
	void returningServerStartsUnknownAndIgnoresOlderReportsOfPeers() {
		Session session = Session.warm(this.settings);
		this.settings.out.add(0);
		session.applySettings(this.settings);
		session.tickAfter(5_000);
		this.settings.out.clear();
		session.applySettings(this.settings);
		session.fleet.peerReports.put("s0", new ServerEntry("s0", "WARM", "b1", 4_000));
		session.tickAfter(1_000);
		assertThat(session.state(0)).isEqualTo(ServerState.UNKNOWN);
		session.fleet.peerReports.put("s0", new ServerEntry("s0", "WARM", "b1", 100));
		session.tickAfter(50);
		assertThat(session.state(0)).isEqualTo(ServerState.WARM);
		session.fleet.peerReports.put("s0", new ServerEntry("s0", "COLD", "b2", 0));
		session.tickAfter(50);
		assertThat(session.state(0)).isEqualTo(ServerState.COLD);
	}

	@Test
	void drainingServerIsProbedBeforeItGetsRequestsAgain() {
		Session session = Session.warm(this.settings);
		session.fleet.ownedMs.put("s0", 4_000L);
		run(session, 1, new LoadReport(0, 3, ServerState.DRAINING, "b1"));
		assertThat(probes(session, 20_000)).isEmpty();
		assertThat(probes(session, 10_200)).hasSize(1);
		assertThat(Session.servers(session.request(2, "GET", "/vans"))).isEmpty();
		session.apply(new ProbeEnded(this.settings.definition(0).name(), Session.WARM));
		assertThat(Session.servers(session.request(3, "GET", "/vans"))).containsExactly("s0");
	}

	@Test
	void probesOnlyQuietOwnedServersWithinTheBudget() {
		this.settings.servers = 3;
		this.settings.out.add(2);
		Session session = Session.warm(this.settings);
		assertThat(probes(session, 4_000)).isEmpty();
		session.fleet.ownedMs.put("s0", 4_000L);
		session.fleet.ownedMs.put("s2", 4_000L);
		session.fleet.permission = WorkPermission.FENCED;
		assertThat(probes(session, 4_000)).isEmpty();
		session.fleet.permission = WorkPermission.OPEN;
		List<Probe> sent = probes(session, 60_000);
		assertThat(sent).allMatch((probe) -> probe.server().name().value().equals("s0"));
		// A minute may overlap one more window than it contains completely.
		assertThat(sent).hasSizeBetween(12, 13);
	}

	private static List<Probe> probes(Session session, long ms) {
		List<Probe> sent = new ArrayList<>();
		for (long passed = 0; passed < ms; passed += 50) {
			for (Decision decision : session.tickAfter(50)) {
				if (decision instanceof Probe probe) {
					sent.add(probe);
				}
			}
		}
		return sent;
	}

	private static void run(Session session, long id, LoadReport report) {
		session.request(id, "GET", "/vans");
		session.answer(id, 1, 200, report);
		session.end(id, 1, null);
	}

}
