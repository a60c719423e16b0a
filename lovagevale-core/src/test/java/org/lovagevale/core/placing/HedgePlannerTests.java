package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.Catalog;
import org.lovagevale.core.catalog.CatalogItem;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.RouteTable;
import org.lovagevale.core.catalog.ServiceSpec;
import org.lovagevale.core.catalog.ServingConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hedged requests that the rules forbid: while requests are queued, to a
 * cold, remote, slow or almost full server, beyond the limits, or for a request that must
 * not run twice.
 */
class HedgePlannerTests implements SlotReplies {

	private static final int WORK_MS = 100;

	private static final int SLOTS = 3;

	private final ManualClock clock = new ManualClock(100_000, 1_000_000);

	private final Map<ServerName, BackendInstance> instances = new LinkedHashMap<>();

	private final Map<Long, ServerName> granted = new LinkedHashMap<>();

	private final Map<Long, ServerName> offered = new LinkedHashMap<>();

	private final List<HedgeRefusal> refusals = new ArrayList<>();

	private final Set<ServerName> requestedLoads = new LinkedHashSet<>();

	private final List<Long> queued = new ArrayList<>();

	private boolean soleOwner = true;

	private SlotDispatcher dispatcher;

	private long lastNumber;

	@BeforeEach
	void createDispatcher() {
		createDispatcher(0.2);
	}

	private void createDispatcher(double share) {
		this.dispatcher = new SlotDispatcher(this.clock, new SeededRandom(3), DispatcherFixture.WEST,
				DispatcherFixture.LIMITS.withSecondSendShare(share), (service) -> this.soleOwner,
				new ServerAnnouncements(this.clock), this);
	}

	private void addServer(String id, Region region, long warmupLeftMs) {
		ServerName name = new ServerName(id);
		this.instances.put(name, new BackendInstance(name, DispatcherFixture.SERVICE, "127.0.0.1", 80,
				new FailureDomain(region.value() + "-1"), region, SLOTS, false, warmupLeftMs, 1));
	}

	private void publish() {
		Catalog catalog = new Catalog((item) -> item.key().equals("config")
				? new CatalogItem.PublishedConfiguration(new ServingConfiguration(1, RouteTable.of(List.of()),
						Map.of(DispatcherFixture.SERVICE,
								new ServiceSpec(DispatcherFixture.SERVICE, "/health", 260, 0, 4)),
						new RequestLimits(1, 1, 1, 1)))
				: new CatalogItem.ListedServer(this.instances.get(new ServerName(item.key())), 1));
		List<PublishedItem> items = new ArrayList<>();
		items.add(new PublishedItem("config", 1, ""));
		this.instances.keySet().forEach((id) -> items.add(new PublishedItem(id.value(), 1, "")));
		catalog.replace(items, 1, 0);
		this.dispatcher.update(catalog);
	}

	// Two fast servers, and enough first attempts for the limits.
	private void startService() {
		addServer("a", DispatcherFixture.WEST, 0);
		addServer("b", DispatcherFixture.WEST, 0);
		publish();
		earnLimits(60);
	}

	private void earnLimits(int firstAttempts) {
		for (int i = 0; i < firstAttempts; i++) {
			report("a", 0, 100);
			report("b", 0, 100);
			long number = requestSlot(false);
			this.clock.advance(10);
			release(number, this.granted.get(number), SlotOutcome.SERVED);
		}
		report("a", 0, 100);
		report("b", 0, 100);
	}

	private long requestSlot(boolean hedgeable) {
		long number = ++this.lastNumber;
		this.dispatcher.requestSlot(new SlotRequest(new SlotId(DispatcherFixture.VM, number), DispatcherFixture.SERVICE,
				DispatcherFixture.DOMAIN, Set.of(), false, 1, false, SendPurpose.FIRST, WORK_MS, 400, 2_000, Set.of(),
				number)
			.withHedgeable(hedgeable));
		return number;
	}

	private void report(String id, int running, int slownessPercent) {
		this.dispatcher.recordHealthCheck(new ServerName(id), new ServerLoad(running, 0, SLOTS, slownessPercent), 0);
	}

	private void release(long number, ServerName server, SlotOutcome outcome) {
		this.dispatcher.release(new SlotRelease(new SlotId(DispatcherFixture.VM, number), server, outcome, WORK_MS,
				WORK_MS, ServerLoad.UNKNOWN, number));
	}

	private String otherThan(long number) {
		return this.granted.get(number).value().equals("a") ? "b" : "a";
	}

	// The server of the attempt reports that it is slow, after the other one reported
	// that it is fast.
	private void reportSlow(long number) {
		this.clock.advance(10);
		report(otherThan(number), 0, 100);
		report(this.granted.get(number).value(), 1, 500);
	}

	@Test
	void attemptAtAServerThatIsSlowGetsASecondSlot() {
		startService();
		long number = requestSlot(true);
		reportSlow(number);
		assertThat(this.offered).containsEntry(number, new ServerName(otherThan(number)));
	}

	@Test
	void missingLoadReportIsRequestedShortlyAfterTheGrant() {
		startService();
		long number = requestSlot(true);
		this.requestedLoads.clear();
		this.clock.advance(10);
		this.dispatcher.tick();
		assertThat(this.requestedLoads).containsExactly(this.granted.get(number));
	}

	@Test
	void attemptAtAFastServerIsNotHedgedHoweverLongItTakes() {
		startService();
		long number = requestSlot(true);
		this.clock.advance(10);
		report(this.granted.get(number).value(), 1, 100);
		for (int i = 0; i < 20; i++) {
			this.clock.advance(50);
			report("a", 0, 100);
			report("b", 0, 100);
			this.dispatcher.tick();
		}
		assertThat(this.offered).isEmpty();
	}

	@Test
	void attemptAtAServerThatReportsNothingIsHedgedWhenItIsLate() {
		startService();
		long number = requestSlot(true);
		for (int i = 0; i < 5; i++) {
			this.clock.advance(60);
			report(otherThan(number), 0, 100);
			this.dispatcher.tick();
		}
		assertThat(this.offered).containsKey(number);
	}

	@Test
	void requestThatMustNotRunTwiceIsNotHedged() {
		startService();
		long number = requestSlot(false);
		reportSlow(number);
		assertThat(this.offered).isEmpty();
	}

	@Test
	void noHedgedRequestPrecedesAQueuedOne() {
		startService();
		long number = requestSlot(true);
		for (int i = 0; i < 5; i++) {
			requestSlot(false);
		}
		long waiting = requestSlot(false);
		assertThat(this.queued).contains(waiting);
		reportSlow(number);
		assertThat(this.offered).isEmpty();
		release(number, this.granted.get(number), SlotOutcome.SERVED);
		assertThat(this.refusals).containsExactly(HedgeRefusal.QUEUED);
	}

	@Test
	void serverWithOneFreeSlotGetsNoHedgedRequest() {
		startService();
		long number = requestSlot(true);
		this.clock.advance(10);
		report(otherThan(number), 2, 100);
		report(this.granted.get(number).value(), 1, 500);
		assertThat(this.offered).isEmpty();
		release(number, this.granted.get(number), SlotOutcome.SERVED);
		assertThat(this.refusals).containsExactly(HedgeRefusal.NO_SERVER);
	}

	@Test
	void slowServerGetsNoHedgedRequest() {
		startService();
		long number = requestSlot(true);
		this.clock.advance(10);
		report(otherThan(number), 0, 500);
		report(this.granted.get(number).value(), 1, 500);
		assertThat(this.offered).isEmpty();
	}

	@Test
	void serverWithoutARecentReportGetsNoHedgedRequestUntilItReports() {
		startService();
		long number = requestSlot(true);
		this.requestedLoads.clear();
		this.clock.advance(30);
		report(this.granted.get(number).value(), 1, 500);
		assertThat(this.offered).isEmpty();
		assertThat(this.requestedLoads).contains(new ServerName(otherThan(number)));
		report(otherThan(number), 0, 100);
		assertThat(this.offered).containsKey(number);
	}

	@Test
	void coldServerAndServerOfAnotherRegionGetNoHedgedRequest() {
		addServer("a", DispatcherFixture.WEST, 0);
		publish();
		earnLimits(60);
		addServer("cold", DispatcherFixture.WEST, 60_000);
		addServer("remote", new Region("east"), 0);
		publish();
		report("a", 0, 100);
		long number = requestSlot(true);
		assertThat(this.granted).containsEntry(number, new ServerName("a"));
		this.clock.advance(10);
		this.dispatcher.recordHealthCheck(new ServerName("cold"), new ServerLoad(0, 0, SLOTS, 100), 60_000);
		report("remote", 0, 100);
		report("a", 1, 500);
		assertThat(this.offered).isEmpty();
	}

	@Test
	void processThatMayNotBeAloneDoesNotHedge() {
		startService();
		this.soleOwner = false;
		long number = requestSlot(true);
		reportSlow(number);
		assertThat(this.offered).isEmpty();
	}

	@Test
	void nothingIsHedgedWithoutAShare() {
		createDispatcher(0);
		startService();
		long number = requestSlot(true);
		reportSlow(number);
		assertThat(this.offered).isEmpty();
		assertThat(this.dispatcher.isTickNeeded()).isFalse();
	}

	@Test
	void hedgedRequestsStayWithinTheShareOfTheFirstAttempts() {
		createDispatcher(0.05);
		addServer("a", DispatcherFixture.WEST, 0);
		addServer("b", DispatcherFixture.WEST, 0);
		publish();
		int attempts = 400;
		for (int i = 0; i < attempts; i++) {
			report("a", 0, 100);
			report("b", 0, 100);
			long number = requestSlot(true);
			reportSlow(number);
			release(number, this.granted.get(number), SlotOutcome.ABANDONED);
			ServerName second = this.offered.get(number);
			if (second != null) {
				release(number, second, SlotOutcome.SERVED);
			}
			this.clock.advance(50);
		}
		assertThat(this.offered.size()).isBetween(1, (int) (attempts * 0.05));
		assertThat(this.refusals).contains(HedgeRefusal.SHARE);
	}

	@Test
	void hedgedRequestsLeaveAPartOfTheBudgetToRetries() {
		startService();
		while (retryIsPermitted()) {
			this.clock.advance(1);
		}
		report("a", 0, 100);
		report("b", 0, 100);
		long number = requestSlot(true);
		reportSlow(number);
		assertThat(this.offered).isEmpty();
		release(number, this.granted.get(number), SlotOutcome.SERVED);
		assertThat(this.refusals).containsExactly(HedgeRefusal.RETRY_BUDGET);
	}

	private boolean retryIsPermitted() {
		long number = ++this.lastNumber;
		this.dispatcher.requestSlot(new SlotRequest(new SlotId(DispatcherFixture.VM, number), DispatcherFixture.SERVICE,
				DispatcherFixture.DOMAIN, Set.of(), false, 1, false, SendPurpose.RETRY, WORK_MS, 400, 2_000, Set.of(),
				number));
		ServerName server = this.granted.get(number);
		if (server != null) {
			release(number, server, SlotOutcome.SERVED);
		}
		return server != null;
	}

	@Test
	void unusedOfferIsTakenBackFromTheShare() {
		startService();
		for (int i = 0; i < 20; i++) {
			report("a", 0, 100);
			report("b", 0, 100);
			long number = requestSlot(true);
			reportSlow(number);
			assertThat(this.offered).as("request %s", i).containsKey(number);
			release(number, this.offered.get(number), SlotOutcome.UNUSED);
			release(number, this.granted.get(number), SlotOutcome.SERVED);
			this.clock.advance(20);
		}
	}

	@Test
	void slotsOfALostEntryVmAreReleasedAndItsAttemptsForgotten() {
		startService();
		long number = requestSlot(true);
		reportSlow(number);
		assertThat(this.offered).containsKey(number);
		requestSlot(true);
		this.dispatcher.removeVm(DispatcherFixture.VM);
		assertThat(this.dispatcher.isTickNeeded()).isFalse();
		this.granted.clear();
		report("a", 0, 100);
		report("b", 0, 100);
		for (int i = 0; i < 2 * SLOTS; i++) {
			requestSlot(false);
		}
		assertThat(this.granted).hasSizeGreaterThanOrEqualTo(2 * (SLOTS - 1));
	}

	@Test
	void offeredSlotExpiresWithTheFirstGrant() {
		startService();
		long number = requestSlot(true);
		reportSlow(number);
		assertThat(this.offered).containsKey(number);
		this.clock.advance(2_000 + SlotDispatcher.GRANT_EXPIRY_GRACE_MS + 1);
		this.dispatcher.tick();
		assertThat(this.dispatcher.isTickNeeded()).isFalse();
		report("a", 0, 100);
		report("b", 0, 100);
		this.granted.clear();
		for (int i = 0; i < 2 * SLOTS; i++) {
			requestSlot(false);
		}
		assertThat(this.granted).hasSizeGreaterThanOrEqualTo(2 * (SLOTS - 1));
	}

	@Test
	void requestThatMayHaveCrashedAServerIsNotHedged() {
		startService();
		long first = requestSlot(true);
		release(first, this.granted.get(first), SlotOutcome.LOST);
		report("a", 0, 100);
		report("b", 0, 100);
		long number = ++this.lastNumber;
		this.dispatcher.requestSlot(new SlotRequest(new SlotId(new VmName("vm-2"), number), DispatcherFixture.SERVICE,
				DispatcherFixture.DOMAIN, Set.of(), false, 1, false, SendPurpose.FIRST, WORK_MS, 400, 2_000, Set.of(),
				first)
			.withHedgeable(true));
		reportSlow(number);
		assertThat(this.offered).isEmpty();
	}

	@Override
	public void granted(SlotId id, ServerName server, String why) {
		this.granted.put(id.number(), server);
	}

	@Override
	public void queued(SlotId id) {
		this.queued.add(id.number());
	}

	@Override
	public void refused(SlotId id, RefusalCause cause, int retryAfterMs) {
		// The tests look at the grants.
	}

	@Override
	public void loadWanted(ServerName server) {
		this.requestedLoads.add(server);
	}

	@Override
	public void hedgeOffered(SlotRequest request, ServerName server, String why) {
		if (this.offered.put(request.id().number(), server) != null) {
			throw new IllegalStateException("slot request " + request.id() + " got a second offer");
		}
	}

	@Override
	public void hedgeRefused(SlotRequest request, HedgeRefusal cause) {
		this.refusals.add(cause);
	}

}
