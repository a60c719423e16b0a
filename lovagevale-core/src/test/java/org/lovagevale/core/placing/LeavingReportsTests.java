package org.lovagevale.core.placing;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against entry VMs that are not told which server is leaving, or are told it of a
 * later run of the server.
 */
class LeavingReportsTests {

	private static final VmName FIRST = new VmName("vm-1");

	private static final VmName SECOND = new VmName("vm-2");

	private final ServerAnnouncements announcements = new ServerAnnouncements(new ManualClock(10_000, 1_000_000));

	private final LeavingReports reports = new LeavingReports(this.announcements);

	private static ServerRun run(String id, long startedAt) {
		return new ServerRun(new ServerName(id), startedAt);
	}

	private void list(ServerRun... runs) {
		Map<ServerName, BackendInstance> listed = new HashMap<>();
		for (ServerRun run : runs) {
			listed.put(run.server(), new BackendInstance(run.server(), new ServiceName("balances"), "127.0.0.1", 80,
					new FailureDomain("west-1"), new Region("west"), 3, false, 0, run.startedAtEpochMs()));
		}
		this.reports.update(listed);
	}

	@Test
	void eachVmIsToldOnce() {
		list(run("a", 5), run("b", 5));
		assertThat(this.reports.takeDue(FIRST)).isEmpty();
		this.announcements.recordLeaving(run("a", 5));
		assertThat(this.reports.takeDue(FIRST)).containsExactly(run("a", 5));
		assertThat(this.reports.takeDue(FIRST)).isEmpty();
		this.announcements.recordLeaving(run("b", 5));
		assertThat(this.reports.takeDue(FIRST)).containsExactly(run("b", 5));
		assertThat(this.reports.takeDue(SECOND)).containsExactlyInAnyOrder(run("a", 5), run("b", 5));
	}

	@Test
	void reportIsNotReturnedToItsSender() {
		list(run("a", 5));
		this.reports.recordKnown(FIRST, run("a", 5));
		this.announcements.recordLeaving(run("a", 5));
		assertThat(this.reports.takeDue(FIRST)).isEmpty();
		assertThat(this.reports.takeDue(SECOND)).containsExactly(run("a", 5));
	}

	// An announcement holds for one run, which the VMs that list it have to know.
	@Test
	void laterRunIsNotReported() {
		list(run("a", 5));
		this.announcements.recordLeaving(run("a", 5));
		list(run("a", 6));
		assertThat(this.reports.takeDue(FIRST)).isEmpty();
		this.announcements.recordLeaving(run("a", 6));
		assertThat(this.reports.takeDue(FIRST)).containsExactly(run("a", 6));
	}

	@Test
	void runThatIsListedAfterItsAnnouncementIsReported() {
		this.announcements.recordLeaving(run("a", 5));
		assertThat(this.reports.takeDue(FIRST)).isEmpty();
		list(run("a", 5));
		assertThat(this.reports.takeDue(FIRST)).containsExactly(run("a", 5));
	}

	@Test
	void lostConnectionMakesTheReportDueAgain() {
		list(run("a", 5));
		this.announcements.recordLeaving(run("a", 5));
		this.reports.takeDue(FIRST);
		this.reports.forget(FIRST);
		assertThat(this.reports.takeDue(FIRST)).containsExactly(run("a", 5));
	}

	@Test
	void grantOfALeavingServerMakesItsReportDueAgain() {
		list(run("a", 5), run("b", 5));
		this.announcements.recordLeaving(run("a", 5));
		this.reports.takeDue(FIRST);
		this.reports.recordGrant(FIRST, new ServerName("b"));
		assertThat(this.reports.takeDue(FIRST)).isEmpty();
		this.reports.recordGrant(FIRST, new ServerName("a"));
		assertThat(this.reports.takeDue(FIRST)).containsExactly(run("a", 5));
	}

}
