package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.ManualClock;
import org.lovagevale.base.Region;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.Catalog;
import org.lovagevale.core.catalog.CatalogItem;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.RouteTable;
import org.lovagevale.core.catalog.ServiceSpec;
import org.lovagevale.core.catalog.ServingConfiguration;

/**
 * Sets up a {@link SlotDispatcher} with the servers that a test adds, and records the
 * replies of the dispatcher.
 */
final class DispatcherFixture implements SlotReplies {

	static final ServiceName SERVICE = new ServiceName("balances");

	static final Region WEST = new Region("west");

	static final FailureDomain DOMAIN = new FailureDomain("west-1");

	static final VmName VM = new VmName("vm-1");

	/**
	 * Permits retries of 20 % of the first sends and 62 more in 10 s, summed over 3
	 * regions. A cold server may get 1.5 times its rate and 5 requests per second more.
	 */
	static final PlacingLimits LIMITS = new PlacingLimits(0.2, 10_000, 62, 3, 1.5, 5);

	static final double COLD_REQUESTS_PER_SECOND = 4;

	final ManualClock clock = new ManualClock(10_000, 1_000_000);

	final Map<ServerName, BackendInstance> instances = new LinkedHashMap<>();

	final List<FailureDomain> evacuatedDomains = new ArrayList<>();

	final Map<Long, ServerName> granted = new LinkedHashMap<>();

	final Map<Long, String> grantReasons = new HashMap<>();

	final Map<Long, RefusalCause> refused = new HashMap<>();

	final Map<Long, Integer> retryAfterMs = new HashMap<>();

	final List<Long> queued = new ArrayList<>();

	final Set<ServerName> requestedLoads = new LinkedHashSet<>();

	boolean soleOwner = true;

	/** Called for each grant, after it has been recorded. */
	Consumer<SlotId> onGranted = (id) -> {
	};

	final ServerAnnouncements announcements = new ServerAnnouncements(this.clock);

	final SlotDispatcher dispatcher = new SlotDispatcher(this.clock, new SeededRandom(7), WEST, LIMITS,
			(service) -> this.soleOwner, this.announcements, this);

	private long catalogRevision;

	private long lastRequestNumber;

	DispatcherFixture addServer(String id, FailureDomain domain, Region region, int slots, boolean draining,
			long warmupLeftMs, long startedAt) {
		ServerName name = new ServerName(id);
		this.instances.put(name, new BackendInstance(name, SERVICE, "127.0.0.1", 80, domain, region, slots, draining,
				warmupLeftMs, startedAt));
		return this;
	}

	DispatcherFixture addServer(String id) {
		return addServer(id, DOMAIN, WEST, 3, false, 0, 1);
	}

	/**
	 * Passes a catalog of the servers and evacuated domains to the dispatcher.
	 * @return this fixture
	 */
	DispatcherFixture publishCatalog() {
		this.catalogRevision++;
		Catalog catalog = new Catalog((item) -> switch (item.key()) {
			case "config" ->
				new CatalogItem.PublishedConfiguration(new ServingConfiguration(1, RouteTable.of(List.of()),
						Map.of(SERVICE, new ServiceSpec(SERVICE, "/health", 260, 3_000, COLD_REQUESTS_PER_SECOND)),
						new RequestLimits(1, 1, 1, 1)));
			default -> item.key().startsWith("out ")
					? new CatalogItem.EvacuatedDomain(new FailureDomain(item.key().substring("out ".length())))
					: new CatalogItem.ListedServer(this.instances.get(new ServerName(item.key())), 1);
		});
		// The key of a server is its name. The key of an evacuated domain is its name
		// with the prefix "out ".
		List<PublishedItem> items = new ArrayList<>();
		items.add(new PublishedItem("config", this.catalogRevision, ""));
		this.instances.keySet().forEach((id) -> items.add(new PublishedItem(id.value(), this.catalogRevision, "")));
		this.evacuatedDomains
			.forEach((domain) -> items.add(new PublishedItem("out " + domain, this.catalogRevision, "")));
		catalog.replace(items, this.catalogRevision, this.clock.millis());
		this.dispatcher.update(catalog);
		return this;
	}

	SlotRequest slotRequest(int priority, boolean firstSend, int workMs, int targetLeftMs, int timeLeftMs) {
		return new SlotRequest(new SlotId(VM, ++this.lastRequestNumber), SERVICE, DOMAIN, Set.of(), false, priority,
				false, firstSend ? SendPurpose.FIRST : SendPurpose.RETRY, workMs, targetLeftMs, timeLeftMs, Set.of(),
				this.lastRequestNumber);
	}

	long requestSlot(SlotRequest request) {
		this.dispatcher.requestSlot(request);
		return request.id().number();
	}

	long requestSlot() {
		return requestSlot(slotRequest(1, true, 100, 400, 2_000));
	}

	void release(long number, SlotOutcome outcome) {
		release(number, outcome, number);
	}

	void release(long number, SlotOutcome outcome, long fingerprint) {
		this.dispatcher.release(new SlotRelease(new SlotId(VM, number), this.granted.get(number), outcome, 100, 100,
				ServerLoad.UNKNOWN, fingerprint));
	}

	@Override
	public void granted(SlotId id, ServerName server, String why) {
		if (this.granted.put(id.number(), server) != null) {
			throw new IllegalStateException("slot request " + id + " got a second grant");
		}
		this.grantReasons.put(id.number(), why);
		this.onGranted.accept(id);
	}

	@Override
	public void queued(SlotId id) {
		this.queued.add(id.number());
	}

	@Override
	public void refused(SlotId id, RefusalCause cause, int retryAfterMs) {
		this.refused.put(id.number(), cause);
		this.retryAfterMs.put(id.number(), retryAfterMs);
	}

	@Override
	public void loadWanted(ServerName server) {
		this.requestedLoads.add(server);
	}

}
