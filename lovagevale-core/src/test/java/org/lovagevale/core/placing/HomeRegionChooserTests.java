package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.catalog.BackendInstance;

import static org.assertj.core.api.Assertions.assertThat;

class HomeRegionChooserTests {

	private static final Region EAST = new Region("east");

	private static final Region SOUTH = new Region("south");

	private final HomeRegionChooser chooser = new HomeRegionChooser(new SeededRandom(3));

	private final List<BackendInstance> servers = new ArrayList<>();

	private void addServers(Region region, int count, boolean draining) {
		for (int i = 0; i < count; i++) {
			this.servers
				.add(new BackendInstance(new ServerName(region + "-" + this.servers.size()), DispatcherFixture.SERVICE,
						"127.0.0.1", 80, new FailureDomain(region + "-1"), region, 3, draining, 0, 1));
		}
	}

	@Test
	void requestsAreDistributedInProportionToTheServersOfEachRegion() {
		addServers(EAST, 6, false);
		addServers(SOUTH, 2, false);
		Map<Region, Integer> requestsByRegion = new HashMap<>();
		for (int i = 0; i < 800; i++) {
			Region chosen = this.chooser.choose(DispatcherFixture.SERVICE, Set.of(EAST, SOUTH), this.servers, Set.of());
			requestsByRegion.merge(chosen, 1, Integer::sum);
		}
		// EAST has 6 of 8 servers, so 600 of 800 requests are expected there.
		assertThat(requestsByRegion.get(EAST)).isBetween(540, 660);
	}

	@Test
	void regionWithoutUsableServersIsNotChosen() {
		addServers(EAST, 3, true);
		addServers(SOUTH, 1, false);
		assertThat(this.chooser.choose(DispatcherFixture.SERVICE, Set.of(EAST, SOUTH), this.servers, Set.of()))
			.isEqualTo(SOUTH);
		assertThat(this.chooser.choose(DispatcherFixture.SERVICE, Set.of(EAST, SOUTH), this.servers,
				Set.of(new FailureDomain("south-1"))))
			.isNull();
		assertThat(this.chooser.choose(DispatcherFixture.SERVICE, Set.of(EAST), this.servers, Set.of())).isNull();
	}

}
