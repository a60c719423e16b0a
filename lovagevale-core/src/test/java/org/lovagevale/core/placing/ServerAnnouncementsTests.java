package org.lovagevale.core.placing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.catalog.BackendInstance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against requests to servers that have announced that they are leaving or want no
 * requests, and against announcements that outlive the run of their server.
 */
class ServerAnnouncementsTests {

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final ServerAnnouncements announcements = new ServerAnnouncements(this.clock);

	private static BackendInstance server(String id, long startedAt) {
		return new BackendInstance(new ServerName(id), DispatcherFixture.SERVICE, "127.0.0.1", 80,
				DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 3, false, 0, startedAt);
	}

	@Test
	void leavingHoldsForOneRunOnly() {
		assertThat(this.announcements.recordLeaving(server("a", 5))).isTrue();
		assertThat(this.announcements.recordLeaving(server("a", 5))).isFalse();
		assertThat(this.announcements.isAvailable(server("a", 5))).isFalse();
		assertThat(this.announcements.isAvailable(server("a", 6))).isTrue();
		assertThat(this.announcements.isAvailable(server("b", 5))).isTrue();
	}

	@Test
	void lateResponseOfAnEarlierRunDoesNotFreeTheLaterOne() {
		this.announcements.recordLeaving(server("a", 6));
		this.announcements.recordLeaving(server("a", 5));
		assertThat(this.announcements.isLeaving(server("a", 6))).isTrue();
		assertThat(this.announcements.isLeaving(server("a", 7))).isFalse();
	}

	@Test
	void pauseEndsAfterItsTime() {
		this.announcements.recordPause(server("a", 5), 300);
		this.clock.advance(299);
		assertThat(this.announcements.pauseLeftMs(server("a", 5))).isEqualTo(1);
		assertThat(paused(5)).containsExactly(Map.entry(new ServerName("a"), 1L));
		this.clock.advance(1);
		assertThat(this.announcements.isAvailable(server("a", 5))).isTrue();
		assertThat(paused(5)).isEmpty();
	}

	@Test
	void shorterPauseDoesNotEndALongerOne() {
		this.announcements.recordPause(server("a", 5), 1_000);
		this.announcements.recordPause(server("a", 5), 10);
		assertThat(this.announcements.pauseLeftMs(server("a", 5))).isEqualTo(1_000);
	}

	@Test
	void pauseDoesNotHoldForTheNextRun() {
		this.announcements.recordPause(server("a", 5), 1_000);
		assertThat(this.announcements.isAvailable(server("a", 6))).isTrue();
		assertThat(paused(5)).hasSize(1);
		assertThat(paused(6)).isEmpty();
	}

	// The paused servers, all of whose current runs have the given start.
	private Map<ServerName, Long> paused(long startedAt) {
		return this.announcements.paused(DispatcherFixture.SERVICE, (name) -> server(name.value(), startedAt));
	}

	@Test
	void pausesAreBounded() {
		this.announcements.recordPause(server("a", 5), Long.MAX_VALUE);
		assertThat(this.announcements.pauseLeftMs(server("a", 5))).isEqualTo(ServerAnnouncements.MAX_PAUSE_MS);
		assertThatIllegalArgumentException().isThrownBy(() -> this.announcements.recordPause(server("a", 5), -1));
	}

	@Test
	void oldestRunsAreForgotten() {
		for (int i = 0; i <= ServerAnnouncements.MAX_RUNS; i++) {
			this.announcements.recordLeaving(server("s-" + i, 5));
		}
		assertThat(this.announcements.isLeaving(server("s-0", 5))).isFalse();
		assertThat(this.announcements.isLeaving(server("s-1", 5))).isTrue();
	}

	@Test
	void oldestPausesAreForgotten() {
		for (int i = 0; i <= ServerAnnouncements.MAX_RUNS; i++) {
			this.announcements.recordPause(server("s-" + i, 5), ServerAnnouncements.MAX_PAUSE_MS);
		}
		assertThat(this.announcements.isAvailable(server("s-0", 5))).isTrue();
		assertThat(this.announcements.isAvailable(server("s-1", 5))).isFalse();
		assertThat(paused(5)).hasSize(ServerAnnouncements.MAX_RUNS);
	}

	// Each number is one event: its last digits choose the server and the kind of event.
	@Property(seed = "20261205", tries = 300)
	void nothingIsGrantedToAServerThatIsLeaving(
			@ForAll @Size(min = 50, max = 300) List<@IntRange(max = 99_999) Integer> events) {
		DispatcherFixture fixture = new DispatcherFixture();
		Map<String, Long> runs = new HashMap<>();
		Set<String> leaving = new HashSet<>();
		for (int i = 0; i < 6; i++) {
			runs.put("s" + i, 1L);
			fixture.addServer("s" + i);
		}
		fixture.publishCatalog();
		fixture.onGranted = (id) -> {
			String granted = fixture.granted.get(id.number()).value();
			assertThat(leaving).as("leaving servers").doesNotContain(granted);
		};
		for (int event : events) {
			String id = "s" + event % 6;
			switch (event / 6 % 8) {
				case 0 -> {
					fixture.announcements.recordLeaving(fixture.instances.get(new ServerName(id)));
					leaving.add(id);
				}
				case 1 -> {
					long run = runs.merge(id, 1L, Long::sum);
					leaving.remove(id);
					fixture.addServer(id, DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 3, false, 0, run);
					fixture.publishCatalog();
				}
				case 2 -> fixture.publishCatalog();
				case 3 -> fixture.granted.keySet()
					.stream()
					.findFirst()
					.ifPresent((number) -> fixture.release(number, SlotOutcome.SERVED));
				case 4 -> {
					fixture.clock.advance(event % 97);
					fixture.dispatcher.tick();
				}
				default -> fixture.requestSlot();
			}
		}
	}

}
