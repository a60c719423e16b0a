package org.lovagevale.core.placing;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against sends to a server that told this VM that it is leaving or wants a pause,
 * and against announcements that hold for another run or another VM, whatever the order
 * of responses, grants, catalogs, restarts and steps of the clock.
 */
class AnnouncementModelTests {

	@Property(seed = "20261206", tries = 300)
	void announcementsHoldForTheirRunAndVm(@ForAll @IntRange(min = 1, max = 40) int servers,
			@ForAll @IntRange(min = 1, max = 8) int vms,
			@ForAll @Size(min = 50, max = 300) List<@IntRange(max = 99_999_999) Integer> events) {
		play(new AnnouncementModel(servers, vms), events);
	}

	@Property(seed = "20261207", tries = 5)
	void announcementsHoldAtTheLargestSize(
			@ForAll @Size(min = 300, max = 600) List<@IntRange(max = 99_999_999) Integer> events) {
		AnnouncementModel model = new AnnouncementModel(6_300, 150);
		play(model, events);
		assertThat(model.sends).isPositive();
	}

	// Each number is one event: its parts choose the kind, the VM, the server and a time.
	private static void play(AnnouncementModel model, List<Integer> events) {
		for (int event : events) {
			int vm = event / 10 % 997;
			int server = event / 1_000 % 9_973;
			switch (event % 10) {
				case 0 -> model.answer(vm, server, event / 10 % 3 == 0, 0);
				case 1 -> model.answer(vm, server, event / 10 % 3 == 0, 1 + event / 10 % 3_000);
				case 2 -> model.restart(server, event / 10 % 2 == 0);
				case 3 -> model.readCatalog(vm);
				case 4 -> model.advance((event / 10 % 7 == 0) ? 3_000 : event / 10 % 97);
				case 5 -> model.endRequest(vm);
				default -> model.request(vm, server);
			}
		}
	}

}
