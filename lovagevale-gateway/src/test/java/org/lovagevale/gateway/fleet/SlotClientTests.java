package org.lovagevale.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.Catalog;
import org.lovagevale.core.catalog.CatalogItem;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.message.RegionMessage;
import org.lovagevale.core.message.ServerLeaving;
import org.lovagevale.core.message.SlotAsk;
import org.lovagevale.core.message.SlotGranted;
import org.lovagevale.core.message.SlotOffered;
import org.lovagevale.core.message.SlotRefused;
import org.lovagevale.core.message.SlotReturned;
import org.lovagevale.core.placing.PlacingLimits;
import org.lovagevale.core.placing.RefusalCause;
import org.lovagevale.core.placing.SendPurpose;
import org.lovagevale.core.placing.ServerAnnouncements;
import org.lovagevale.core.placing.ServerLoad;
import org.lovagevale.core.placing.SlotDispatcher;
import org.lovagevale.core.placing.SlotId;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.core.placing.SlotRelease;
import org.lovagevale.core.placing.SlotRequest;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;
import org.lovagevale.core.roster.RosterPhase;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against replies of a dispatcher that are assigned to another request, and
 * against entry VMs that are not told which server is leaving.
 */
class SlotClientTests {

	private static final Region WEST = new Region("west");

	private static final FailureDomain DOMAIN = new FailureDomain("west-1");

	private static final VmName DISPATCHER = new VmName("vm-dispatcher");

	private final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final ServerAnnouncements announcements = new ServerAnnouncements(this.clock);

	private static final VmName OTHER = new VmName("vm-other");

	private static final ServiceName SERVICE = new ServiceName("balances");

	private final List<RegionMessage> sent = new ArrayList<>();

	/** The leaving servers reported to each VM. */
	private final Map<VmName, List<ServerLeaving>> reported = new HashMap<>();

	private final List<String> replies = new ArrayList<>();

	private final List<SlotGrant> grants = new ArrayList<>();

	private static RosterMember member(VmName vm, Incarnation incarnation, RosterPhase phase) {
		return new RosterMember(vm, "127.0.0.1", 1, 2, DOMAIN, WEST, 100, incarnation, 1, phase);
	}

	private SlotClient client(Incarnation incarnation) {
		Roster roster = new Roster(this.clock, member(new VmName("vm-self"), incarnation, RosterPhase.STARTING));
		roster.recordHeartbeat(member(DISPATCHER, new Incarnation(1, 1), RosterPhase.SERVING));
		return client(roster);
	}

	private SlotClient client(Roster roster) {
		return new SlotClient(this.clock, roster, this::recordSent,
				(receiver) -> new SlotDispatcher(this.clock, new SeededRandom(1), WEST,
						new PlacingLimits(0.2, 10_000, 62, 3, 1.5, 5), (service) -> false, this.announcements,
						receiver));
	}

	private void recordSent(VmName to, RegionMessage message) {
		this.sent.add(message);
		if (message instanceof ServerLeaving leaving) {
			this.reported.computeIfAbsent(to, (vm) -> new ArrayList<>()).add(leaving);
		}
	}

	private static BackendInstance server(String id, ServiceName service, long startedAtEpochMs) {
		return new BackendInstance(new ServerName(id), service, "127.0.0.1", 80, DOMAIN, WEST, 3, false, 0,
				startedAtEpochMs);
	}

	private static void list(SlotClient client, BackendInstance... servers) {
		Map<String, BackendInstance> byKey = new LinkedHashMap<>();
		List<PublishedItem> items = new ArrayList<>();
		for (BackendInstance server : servers) {
			byKey.put(server.id().value(), server);
			items.add(new PublishedItem(server.id().value(), 1, ""));
		}
		Catalog catalog = new Catalog((item) -> new CatalogItem.ListedServer(byKey.get(item.key()), 1));
		catalog.replace(items, 1, 1);
		client.dispatcher().update(catalog);
	}

	private SlotId request(SlotClient client) {
		SlotId id = client.nextId();
		client.requestSlot(new SlotRequest(id, SERVICE, DOMAIN, Set.of(), false, 1, false, SendPurpose.FIRST, 100, 400,
				2_000, Set.of(), 1), listener());
		return id;
	}

	private SlotListener listener() {
		return new SlotListener() {

			@Override
			public void granted(SlotGrant grant) {
				SlotClientTests.this.replies.add("granted " + grant.server());
			}

			@Override
			public void refused(RefusalCause cause, int retryAfterMs) {
				SlotClientTests.this.replies.add("refused " + cause);
			}

		};
	}

	// Guards against a request that is sent to a server of another service.
	@Test
	void lateReplyToAnEarlierRunIsNotAssignedToARequestOfThisRun() {
		SlotId earlier = client(new Incarnation(1, 7)).nextId();
		SlotClient client = client(new Incarnation(2, 8));
		client.requestSlot(new SlotRequest(client.nextId(), new ServiceName("balances"), DOMAIN, Set.of(), false, 1,
				false, SendPurpose.FIRST, 100, 400, 2_000, Set.of(), 1), listener());
		client.handleRefusal(DISPATCHER, new SlotRefused(earlier.number(), RefusalCause.OVERLOAD.name(), 100, ""));
		client.handleGrant(DISPATCHER, new SlotGranted(earlier.number(), "server-of-another-service", ""));
		assertThat(this.replies).isEmpty();
		assertThat(this.sent.getLast()).isInstanceOfSatisfying(SlotReturned.class, (returned) -> {
			assertThat(returned.number()).isEqualTo(earlier.number());
			assertThat(returned.outcome()).isEqualTo(SlotOutcome.UNUSED.name());
		});
	}

	@Test
	void refusalWithAnUnknownCauseReachesTheRequest() {
		SlotClient client = client(new Incarnation(1, 7));
		SlotId id = client.nextId();
		client.requestSlot(new SlotRequest(id, new ServiceName("balances"), DOMAIN, Set.of(), false, 1, false,
				SendPurpose.FIRST, 10, 400, 2_000, Set.of(), 1), listener());
		client.handleRefusal(DISPATCHER, new SlotRefused(id.number(), "CAUSE_OF_ANOTHER_RELEASE", 250, ""));
		assertThat(this.replies).containsExactly("refused " + RefusalCause.OVERLOAD);
		assertThat(client.hasPendingRequests()).isFalse();
	}

	private SlotId requestHedgeable(SlotClient client, boolean used) {
		SlotId id = client.nextId();
		SlotListener granted = listener();
		client.requestSlot(new SlotRequest(id, SERVICE, DOMAIN, Set.of(), false, 1, false, SendPurpose.FIRST, 100, 400,
				2_000, Set.of(), 1)
			.withHedgeable(true), new SlotListener() {

				@Override
				public void granted(SlotGrant grant) {
					SlotClientTests.this.grants.add(grant);
					granted.granted(grant);
				}

				@Override
				public void refused(RefusalCause cause, int retryAfterMs) {
					granted.refused(cause, retryAfterMs);
				}

				@Override
				public boolean hedgeOffered(SlotGrant grant) {
					SlotClientTests.this.replies.add("offered " + grant.server());
					return used;
				}

			});
		return id;
	}

	private void assertReleasedUnused(SlotId id, String server) {
		assertThat(this.sent.getLast()).isInstanceOfSatisfying(SlotReturned.class, (returned) -> {
			assertThat(returned.number()).isEqualTo(id.number());
			assertThat(returned.server()).isEqualTo(server);
			assertThat(returned.outcome()).isEqualTo(SlotOutcome.UNUSED.name());
		});
	}

	@Test
	void slotRequestStatesWhetherItMayBeHedged() {
		SlotClient client = client(new Incarnation(1, 7));
		requestHedgeable(client, true);
		assertThat(this.sent.getLast()).isInstanceOfSatisfying(SlotAsk.class,
				(ask) -> assertThat(SlotMessages.toRequest(DISPATCHER, ask).hedgeable()).isTrue());
		request(client);
		assertThat(this.sent.getLast()).isInstanceOfSatisfying(SlotAsk.class,
				(ask) -> assertThat(ask.hedgeable()).isFalse());
	}

	@Test
	void offerReachesTheRequestThatUsesTheFirstSlot() {
		SlotClient client = client(new Incarnation(1, 7));
		SlotId id = requestHedgeable(client, true);
		client.handleGrant(DISPATCHER, new SlotGranted(id.number(), "a", ""));
		this.sent.clear();
		client.handleOffer(DISPATCHER, new SlotOffered(id.number(), "b", ""));
		assertThat(this.replies).containsExactly("granted a", "offered b");
		assertThat(this.sent).isEmpty();
	}

	// Guards against slots that stay taken until they expire.
	@Test
	void offerThatIsNotUsedIsReleased() {
		SlotClient client = client(new Incarnation(1, 7));
		SlotId id = requestHedgeable(client, false);
		client.handleGrant(DISPATCHER, new SlotGranted(id.number(), "a", ""));
		client.handleOffer(DISPATCHER, new SlotOffered(id.number(), "b", ""));
		assertReleasedUnused(id, "b");
	}

	@Test
	void offerAfterTheFirstSlotWasReleasedIsReleased() {
		SlotClient client = client(new Incarnation(1, 7));
		SlotId id = requestHedgeable(client, true);
		client.handleGrant(DISPATCHER, new SlotGranted(id.number(), "a", ""));
		client.release(this.grants.getFirst(),
				new SlotRelease(id, new ServerName("a"), SlotOutcome.SERVED, 10, 100, ServerLoad.UNKNOWN, 1));
		client.handleOffer(DISPATCHER, new SlotOffered(id.number(), "b", ""));
		assertThat(this.replies).containsExactly("granted a");
		assertReleasedUnused(id, "b");
	}

	@Test
	void offerOfAProcessThatDidNotGrantTheFirstSlotIsReleased() {
		SlotClient client = client(new Incarnation(1, 7));
		SlotId id = requestHedgeable(client, true);
		client.handleGrant(DISPATCHER, new SlotGranted(id.number(), "a", ""));
		client.handleOffer(OTHER, new SlotOffered(id.number(), "b", ""));
		assertThat(this.replies).containsExactly("granted a");
		assertReleasedUnused(id, "b");
	}

	// A process reads the announcement at a server where it placed a request by itself.
	@Test
	void leavingServerIsReportedToADispatcherThatIsBypassed() {
		SlotClient client = client(new Incarnation(1, 7));
		BackendInstance leaving = server("a", SERVICE, 5);
		list(client, leaving);
		request(client);
		this.clock.advance(SlotClient.CONFIRMATION_TIMEOUT_MS);
		client.tick();
		assertThat(this.replies).containsExactly("granted a");
		this.announcements.recordLeaving(leaving);
		client.reportLeaving(leaving);
		assertThat(this.reported).containsOnlyKeys(DISPATCHER);
		assertThat(this.reported.get(DISPATCHER)).containsExactly(new ServerLeaving("a", 5));
	}

	@Test
	void reportThatWasLostWithTheConnectionIsRepeatedBeforeTheNextRequest() {
		SlotClient client = client(new Incarnation(1, 7));
		BackendInstance leaving = server("a", SERVICE, 5);
		list(client, leaving);
		this.announcements.recordLeaving(leaving);
		client.reportLeaving(leaving);
		client.handleConnectionLost(DISPATCHER);
		request(client);
		assertThat(this.reported.get(DISPATCHER)).hasSize(2);
		assertThat(this.sent.getLast()).isInstanceOf(SlotAsk.class);
		request(client);
		assertThat(this.reported.get(DISPATCHER)).hasSize(2);
	}

	// The others may place requests by themselves while they bypass the dispatcher.
	@Test
	void dispatcherTellsTheOtherVmsOfTheRegionWhatItWasTold() {
		Roster roster = new Roster(this.clock,
				member(new VmName("vm-self"), new Incarnation(1, 7), RosterPhase.SERVING));
		roster.recordHeartbeat(member(DISPATCHER, new Incarnation(1, 1), RosterPhase.SERVING));
		roster.recordHeartbeat(member(OTHER, new Incarnation(1, 2), RosterPhase.SERVING));
		ServiceName service = IntStream.range(0, 100)
			.mapToObj((number) -> new ServiceName("service-" + number))
			.filter((name) -> roster.dispatcher(name).vm().equals(roster.self().vm()))
			.findFirst()
			.orElseThrow();
		SlotClient client = client(roster);
		BackendInstance first = server("a", service, 5);
		BackendInstance second = server("b", service, 6);
		list(client, first, second);
		client.handleServerLeaving(OTHER, new ServerLeaving("a", 5));
		assertThat(this.announcements.isLeaving(first)).isTrue();
		assertThat(this.reported).containsOnlyKeys(DISPATCHER);
		assertThat(this.reported.get(DISPATCHER)).containsExactly(new ServerLeaving("a", 5));
		this.announcements.recordLeaving(second);
		client.reportLeaving(second);
		assertThat(this.reported.get(DISPATCHER)).containsExactly(new ServerLeaving("a", 5), new ServerLeaving("b", 6));
		assertThat(this.reported.get(OTHER)).containsExactly(new ServerLeaving("b", 6));
	}

	// Guards against messages without end between two processes.
	@Test
	void processThatIsNotTheDispatcherPassesNoReportOn() {
		SlotClient client = client(new Incarnation(1, 7));
		list(client, server("a", SERVICE, 5));
		client.handleServerLeaving(OTHER, new ServerLeaving("a", 5));
		client.handleServerLeaving(DISPATCHER, new ServerLeaving("a", 5));
		assertThat(this.reported).isEmpty();
	}

	@Test
	void reportAboutAnEarlierRunLeavesTheLaterOneInUse() {
		SlotClient client = client(new Incarnation(1, 7));
		BackendInstance current = server("a", SERVICE, 6);
		list(client, current);
		client.handleServerLeaving(DISPATCHER, new ServerLeaving("a", 5));
		assertThat(this.announcements.isLeaving(current)).isFalse();
		request(client);
		this.clock.advance(SlotClient.CONFIRMATION_TIMEOUT_MS);
		client.tick();
		assertThat(this.replies).containsExactly("granted a");
		assertThat(this.reported).isEmpty();
	}

}
