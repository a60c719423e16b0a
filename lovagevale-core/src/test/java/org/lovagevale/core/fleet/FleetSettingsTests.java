package org.lovagevale.core.fleet;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.decision.ReadSettings;
import org.lovagevale.core.event.PeerRefused;
import org.lovagevale.core.event.SettingsConfirmed;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.core.event.SettingsUnavailable;
import org.lovagevale.core.event.Ticked;
import org.lovagevale.core.event.VmListReceived;
import org.lovagevale.core.message.Digest;
import org.lovagevale.core.message.SettingsBody;
import org.lovagevale.core.message.SettingsRequest;
import org.lovagevale.settings.model.Settings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the use of outdated settings and against too many reads of the platform.
 */
class FleetSettingsTests {

	private static final String[] THREE_VMS = { "west/a/e1", "west/b/e2", "east/a/e3" };

	private final FleetHarness fleet = FleetHarness.withSettings(settings(7), "e2");

	@Test
	void lowerVersionIsNeverAdopted() {
		this.fleet.apply(new SettingsReceived(settings(6), "old", true));
		this.fleet.apply(new SettingsReceived(settings(6), "old", false));
		assertThat(this.fleet.logic.settings().version()).isEqualTo(7);
		assertThat(this.fleet.logic.counters().staleVersions()).isGreaterThanOrEqualTo(2);
	}

	@Test
	void newerVersionIsRequestedFromOnePeerAndKeepsItsConfirmedAge() {
		this.fleet.receive("e2", this.fleet.digest("e2", 8, 100));
		this.fleet.receive("e3", this.fleet.digest("e3", 8, 100));
		assertThat(this.fleet.sent("e2", SettingsRequest.class)).containsExactly(new SettingsRequest(7));
		assertThat(this.fleet.sent("e3", SettingsRequest.class)).isEmpty();
		this.fleet.apply(new SettingsReceived(settings(8), "new", false));
		assertThat(this.fleet.logic.confirmedAgeMs()).isBetween(100L, 500L);
		this.fleet.receive("e2", new SettingsRequest(7));
		this.fleet.receive("e2", new SettingsRequest(8));
		assertThat(this.fleet.sent("e2", SettingsBody.class)).containsExactly(new SettingsBody(8, 0, "new"));
	}

	@Test
	void onlyOneReadIsOutstandingAndFailedReadsAreDelayed() {
		FleetHarness starting = new FleetHarness();
		starting.advance(3_000);
		assertThat(starting.settingsReads()).isEqualTo(1);
		starting.apply(new SettingsUnavailable("down"));
		starting.advance(950);
		assertThat(starting.settingsReads()).isEqualTo(1);
		starting.advance(600);
		assertThat(starting.settingsReads()).isEqualTo(2);
	}

	@Test
	void confirmationQueuedDuringPauseIsOutdated() {
		this.fleet.advance(2_000);
		this.fleet.clock.advance(30_000);
		ReadSettings read = this.fleet.decisions(ReadSettings.class).getLast();
		this.fleet.apply(new SettingsConfirmed(read.afterVersion()));
		assertThat(this.fleet.logic.permission()).isEqualTo(WorkPermission.FENCED);
		assertThat(this.fleet.logic.confirmedAgeMs()).isGreaterThan(29_000);
	}

	@Test
	void digestQueuedDuringPauseDoesNotPermitWork() {
		Digest queued = this.fleet.digest("e2", 7, 100);
		this.fleet.clock.advance(30_000);
		this.fleet.receive("e2", queued);
		assertThat(this.fleet.logic.permission()).isEqualTo(WorkPermission.FENCED);
		this.fleet.advance(50);
		this.fleet.receiveDigestsFrom("e2");
		assertThat(this.fleet.logic.permission()).isEqualTo(WorkPermission.OPEN);
	}

	@Test
	void majorityPermitsWorkUnlessNewerSettingsAreKnown() {
		this.fleet.clock.advance(10_000);
		this.fleet.advance(50);
		assertThat(this.fleet.auditEvents()).contains("fleet.fenced");
		this.fleet.receiveDigestsFrom("e3");
		assertThat(this.fleet.logic.permission()).isEqualTo(WorkPermission.OPEN);
		this.fleet.receive("e3", this.fleet.digest("e3", 8, -1));
		assertThat(this.fleet.logic.permission()).isEqualTo(WorkPermission.FENCED);
	}

	@Test
	void startRequiresMajorityOrAllOtherVmsAnsweredOrDown() {
		FleetHarness starting = FleetHarness.withSettings(settings(7));
		assertThat(starting.logic.permission()).isEqualTo(WorkPermission.STARTING);
		starting.apply(new PeerRefused(new VmName("e2")));
		starting.advance(50);
		assertThat(starting.logic.permission()).isEqualTo(WorkPermission.STARTING);
		starting.apply(new VmListReceived(Set.of(), Set.of("e1", "e2")));
		starting.advance(50);
		assertThat(starting.logic.permission()).isEqualTo(WorkPermission.OPEN);
	}

	@Test
	void startWaitsForNewerVersionOfPeer() {
		FleetHarness starting = FleetHarness.withSettings(settings(7));
		starting.receive("e2", starting.digest("e2", 8, -1));
		starting.advance(50);
		assertThat(starting.logic.permission()).isEqualTo(WorkPermission.STARTING);
		starting.apply(new SettingsReceived(settings(8), "new", false));
		starting.advance(50);
		assertThat(starting.auditEvents()).contains("fleet.started");
	}

	@Test
	void readersAreLimitedInNumberAndInEveryRegion() {
		String[] vms = IntStream.range(0, 20)
			.mapToObj((i) -> "r" + i % 3 + "/" + "ab".charAt(i / 3 % 2) + "/e" + i)
			.toArray(String[]::new);
		ActiveSettings activeSettings = new ActiveSettings(new VmName("e1"));
		activeSettings.adopt(TestSettings.settings(1, vms), "");
		ManualClock clock = new ManualClock(0, 0);
		ReaderSelector selector = new ReaderSelector(clock, activeSettings);
		for (int window = 0; window < 50; window++) {
			List<String> regions = activeSettings.entryVms()
				.stream()
				.filter((vm) -> selector.isReader(vm.name()))
				.map((vm) -> vm.region().value())
				.toList();
			assertThat(regions).hasSize(4).contains("r0", "r1", "r2");
			clock.advance(10_000);
		}
	}

	@Test
	void readerReadsOncePerLongPoll() {
		FleetHarness reader = FleetHarness.withSettings(settings(7), "e2");
		ActiveSettings activeSettings = new ActiveSettings(reader.self.vm());
		activeSettings.adopt(settings(7), "");
		assertThat(new ReaderSelector(reader.clock, activeSettings).isReader(reader.self.vm())).isTrue();
		// With 3 VMs and 4 readers every process is a reader, but each long poll lasts at
		// least 500 ms.
		int before = reader.settingsReads();
		for (int i = 0; i < 100; i++) {
			reader.advance(100);
			if (i % 10 == 9) {
				reader.apply(new SettingsConfirmed(7));
			}
		}
		assertThat(reader.settingsReads() - before).isBetween(9, 11);
	}

	@Test
	void failureDomainChangesAreAudited() {
		Settings out = TestSettings.settings(8, "!west/a/e1", "west/b/e2", "east/a/e3");
		this.fleet.apply(new SettingsReceived(out, "out", false));
		this.fleet.apply(new SettingsReceived(settings(9), "back", false));
		assertThat(this.fleet.auditEvents()).containsSubsequence("domain.out", "settings.adopted", "domain.back");
	}

	@Test
	void firstReadDoesNotRequireSettings() {
		FleetHarness starting = new FleetHarness();
		starting.apply(new Ticked());
		assertThat(starting.decisions(ReadSettings.class)).containsExactly(new ReadSettings(0, 0));
	}

	private static Settings settings(long version) {
		return TestSettings.settings(version, THREE_VMS);
	}

}
