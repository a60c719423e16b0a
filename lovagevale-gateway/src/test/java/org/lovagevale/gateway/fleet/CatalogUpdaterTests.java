package org.lovagevale.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.netty.channel.DefaultEventLoop;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.catalog.CatalogItem;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.RouteTable;
import org.lovagevale.core.catalog.ServingConfiguration;
import org.lovagevale.core.message.CatalogNews;
import org.lovagevale.core.message.CatalogRequest;
import org.lovagevale.core.message.RegionMessage;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;
import org.lovagevale.gateway.GatewayMetrics;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that starts while the published configuration is unusable and
 * stays without the one that the others have in force.
 */
class CatalogUpdaterTests {

	private static final Region WEST = new Region("west");

	private static final VmName OTHER = new VmName("vm-other");

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final List<RegionMessage> sent = new ArrayList<>();

	private CatalogUpdater updater() {
		VmName self = new VmName("vm-self");
		Roster roster = new Roster(this.clock, new RosterMember(self, "127.0.0.1", 1, 2, new FailureDomain("west-1"),
				WEST, 100, new Incarnation(1, 1), 1, RosterPhase.STARTING));
		return new CatalogUpdater(new DefaultEventLoop(), this.clock, roster,
				new RemoteContacts(this.clock, self, WEST), (to, message) -> this.sent.add(message),
				(silenceMs) -> Mono.never(), CatalogUpdaterTests::decode, new GatewayMetrics());
	}

	private static CatalogItem decode(PublishedItem item) {
		return item.value().equals("valid")
				? new CatalogItem.PublishedConfiguration(
						new ServingConfiguration(1, RouteTable.of(List.of()), Map.of(), new RequestLimits(1, 1, 1, 1)))
				: new CatalogItem.Unusable("test");
	}

	@Test
	void formerConfigurationIsRequestedAndAdopted() {
		CatalogUpdater running = updater();
		running.handleNews(OTHER, news(true, 0, 5, "valid"));
		running.handleNews(OTHER, news(false, 5, 6, "broken"));
		assertThat(this.sent).isEmpty();
		CatalogUpdater started = updater();
		started.handleNews(OTHER, news(true, 0, 6, "broken"));
		assertThat(started.configuration()).isNull();
		started.handleNews(OTHER, new CatalogNews(false, 6, 6, 0, List.of(), List.of()));
		started.handleNews(OTHER, new CatalogNews(false, 6, 6, 0, List.of(), List.of()));
		assertThat(this.sent).containsExactly(new CatalogRequest(0));
		running.handleRequest(OTHER, new CatalogRequest(0));
		started.handleNews(OTHER, (CatalogNews) this.sent.getLast());
		assertThat(started.configuration()).isNotNull();
	}

	private static CatalogNews news(boolean complete, long base, long asOf, String value) {
		return new CatalogNews(complete, base, asOf, 0, List.of(new PublishedItem("config", asOf, value)), List.of());
	}

}
