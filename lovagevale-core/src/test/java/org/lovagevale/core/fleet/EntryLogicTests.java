package org.lovagevale.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.VmName;
import org.lovagevale.core.EntryLogic;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.MemberPhase;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Exit;
import org.lovagevale.core.decision.Refuse;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.SettingsConfirmed;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.core.event.StopRequested;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.event.VmListReceived;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against decisions that the events alone do not determine, so that a recorded
 * session could not be replayed, and against events that do not reach all parts of the
 * entry logic.
 */
class EntryLogicTests {

	private final ManualClock clock = new ManualClock(0, 1_000_000);

	private final EntryLogic logic = new EntryLogic(new ProcessIdentity(new VmName("e1"), new Incarnation(1, 1)),
			this.clock, new SeededRandom(5));

	private final List<Decision> decisions = new ArrayList<>();

	@Test
	void sameEventsGiveSameDecisions() {
		runSession();
		EntryLogicTests repeated = new EntryLogicTests();
		repeated.runSession();
		assertThat(this.decisions).hasSizeGreaterThan(20).isEqualTo(repeated.decisions);
	}

	@Test
	void settingsReachRequestsAndStatus() {
		request(1, "/nowhere");
		assertThat(refusals()).containsExactly(RefusalReason.STARTING);
		start();
		request(2, "/nowhere");
		assertThat(refusals()).containsExactly(RefusalReason.STARTING, RefusalReason.NO_SUCH_SERVICE);
		assertThat(this.logic.status().settingsVersion()).isEqualTo(7);
		assertThat(this.logic.status().phase()).isEqualTo(MemberPhase.LIVE);
		assertThat(this.logic.status().servers()).hasSize(1);
	}

	@Test
	void stopRefusesRequestsAndExits() {
		start();
		this.logic.apply(new StopRequested());
		advance(10_100);
		request(3, "/transfers");
		assertThat(refusals()).containsExactly(RefusalReason.STOPPING);
		advance(1_000);
		assertThat(this.decisions).contains(new Exit());
	}

	private void runSession() {
		start();
		for (int i = 0; i < 20; i++) {
			request(i, "/transfers");
			advance(700);
			this.decisions.addAll(this.logic.apply(new SettingsConfirmed(7)));
		}
	}

	private void start() {
		advance(50);
		this.decisions.addAll(this.logic.apply(
				new SettingsReceived(TestSettings.settings(7, "west/a/e1", "west/b/e2", "west/b/e3"), "tree", true)));
		this.decisions.addAll(this.logic.apply(new VmListReceived(Set.of(), Set.of("e1"))));
		advance(50);
	}

	private void request(long id, String path) {
		RequestHead head = new RequestHead("GET", path, "", TestSettings.WEST_ONLY, null, 0, false, 0, "127.0.0.1");
		this.decisions.addAll(this.logic.apply(new HeadArrived(new RequestId(id), head)));
	}

	private void advance(long millis) {
		for (long i = 0; i < millis; i += 50) {
			this.clock.advance(50);
			this.decisions.addAll(this.logic.apply(new Ticked()));
		}
	}

	private List<RefusalReason> refusals() {
		return this.decisions.stream()
			.filter(Refuse.class::isInstance)
			.map((decision) -> ((Refuse) decision).refusal().reason())
			.toList();
	}

}
