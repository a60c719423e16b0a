package org.lovagevale.gateway.fleet;

import java.util.ArrayList;
import java.util.List;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.catalog.CatalogItem;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.message.CatalogNews;
import org.lovagevale.core.message.CatalogRequest;
import org.lovagevale.core.message.RegionMessage;
import org.lovagevale.core.roster.RemoteContacts;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;
import org.lovagevale.gateway.CatalogState;
import org.lovagevale.gateway.GatewayMetrics;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a complete read of the platform by each process that starts while other
 * processes of its region serve, and against a start that waits for a process which does
 * not respond.
 */
class InitialCatalogTests {

	private static final Region WEST = new Region("west");

	private static final VmName PEER = new VmName("vm-2");

	private static final List<PublishedItem> ITEMS = List.of(new PublishedItem("a", 7, ""));

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final Roster roster = new Roster(this.clock, member("vm-1", RosterPhase.STARTING));

	private final List<RegionMessage> sent = new ArrayList<>();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private int reads;

	private boolean failing;

	private int cancelledReads;

	private CatalogUpdater updater;

	@BeforeEach
	void createUpdater() {
		RemoteContacts contacts = new RemoteContacts(this.clock, new VmName("vm-1"), WEST);
		this.updater = new CatalogUpdater(this.channel.eventLoop(), this.clock, this.roster, contacts,
				(to, message) -> this.sent.add(message), (silenceMs) -> read(),
				(item) -> new CatalogItem.EvacuatedDomain(new FailureDomain(item.key())), new GatewayMetrics());
	}

	private Mono<CatalogState> read() {
		this.reads++;
		if (this.failing) {
			return Mono.error(new IllegalStateException("no connection"));
		}
		return Mono.<CatalogState>never().doOnCancel(() -> this.cancelledReads++);
	}

	private static RosterMember member(String vm, RosterPhase phase) {
		return new RosterMember(new VmName(vm), "127.0.0.1", 1, 2, new FailureDomain("west-1"), WEST, 100,
				new Incarnation(1, 1), 1, phase);
	}

	@Test
	void processThatKnowsNoOtherReadsThePlatform() {
		this.updater.tick();
		assertThat(this.reads).isEqualTo(1);
		assertThat(this.sent).isEmpty();
	}

	@Test
	void catalogIsRequestedFromAServingProcessInPlaceOfARead() {
		this.updater.tick();
		this.roster.recordHeartbeat(member("vm-2", RosterPhase.SERVING));
		this.updater.tick();
		assertThat(this.sent).containsExactly(new CatalogRequest(0));
		assertThat(this.cancelledReads).isEqualTo(1);
		this.updater.handleNews(PEER, news(200));
		assertThat(this.updater.catalog().revision()).isEqualTo(7);
		this.clock.advance(500);
		this.updater.tick();
		assertThat(this.reads).isEqualTo(1);
	}

	@Test
	void processThatStartsIsNotAsked() {
		this.roster.recordHeartbeat(member("vm-2", RosterPhase.STARTING));
		this.updater.tick();
		assertThat(this.sent).isEmpty();
		assertThat(this.reads).isEqualTo(1);
	}

	@Test
	void platformIsReadIfTheOtherProcessDoesNotRespond() {
		this.roster.recordHeartbeat(member("vm-2", RosterPhase.SERVING));
		this.updater.tick();
		assertThat(this.reads).isZero();
		this.clock.advance(500);
		this.updater.tick();
		assertThat(this.reads).isEqualTo(1);
	}

	@Test
	void platformIsReadAtOnceIfTheOtherProcessIsLost() {
		this.roster.recordHeartbeat(member("vm-2", RosterPhase.SERVING));
		this.updater.tick();
		this.updater.handleConnectionLost(PEER);
		this.updater.tick();
		assertThat(this.reads).isEqualTo(1);
	}

	@Test
	void platformIsReadIfTheCatalogOfTheOtherProcessIsOld() {
		this.roster.recordHeartbeat(member("vm-2", RosterPhase.SERVING));
		this.updater.tick();
		this.updater.handleNews(PEER, news(5_000));
		assertThat(this.updater.catalog().revision()).isZero();
		this.updater.tick();
		assertThat(this.reads).isEqualTo(1);
	}

	// Guards against a process that rejects requests throughout an outage of the platform
	// because it asked for the catalog once before its first read failed.
	@Test
	void oldCatalogIsRequestedAgainAndAdoptedOnceThePlatformCannotBeRead() {
		this.roster.recordHeartbeat(member("vm-2", RosterPhase.SERVING));
		this.updater.tick();
		this.updater.handleNews(PEER, news(60_000));
		this.failing = true;
		this.updater.tick();
		this.channel.runPendingTasks();
		this.updater.tick();
		assertThat(this.sent).containsExactly(new CatalogRequest(0), new CatalogRequest(0));
		this.updater.handleNews(PEER, news(60_000));
		assertThat(this.updater.catalog().revision()).isEqualTo(7);
	}

	@Test
	void catalogIsEncodedOnceForProcessesThatStartTogether() {
		this.updater.handleNews(PEER, news(200));
		this.updater.handleRequest(PEER, new CatalogRequest(0));
		this.updater.handleRequest(new VmName("vm-3"), new CatalogRequest(0));
		assertThat(this.sent).hasSize(2);
		assertThat(this.sent.get(1)).isSameAs(this.sent.get(0));
		this.clock.advance(100);
		this.updater.handleRequest(PEER, new CatalogRequest(0));
		assertThat(this.sent.get(2)).isNotSameAs(this.sent.get(0));
	}

	private static CatalogNews news(long ageMs) {
		return new CatalogNews(true, 0, 7, ageMs, ITEMS, List.of());
	}

}
