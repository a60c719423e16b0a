package org.lovagevale.core.placing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lovagevale.base.ManualClock;
import org.lovagevale.base.SeededRandom;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.Catalog;
import org.lovagevale.core.catalog.CatalogItem;
import org.lovagevale.core.catalog.PublishedItem;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Entry VMs of one region whose requests are placed by a few dispatchers among them, with
 * catalogs of different age, and servers that restart. Checks each grant, each send and
 * each refusal to send against what the VM was told by the servers.
 */
final class AnnouncementModel {

	private static final int MAX_DISPATCHERS = 3;

	private static final int SERVERS_PER_SERVICE = 18;

	final ManualClock clock = new ManualClock(10_000, 1_000_000);

	private final List<EntryVm> vms = new ArrayList<>();

	/** The current run of each server, by the number of its address. */
	private final List<BackendInstance> current = new ArrayList<>();

	/** The run before the current one, by the number of the address. */
	private final List<BackendInstance> previous = new ArrayList<>();

	private final int serviceCount;

	private Map<ServerName, BackendInstance> published = Map.of();

	private long revision;

	private long lastRequestNumber;

	int sends;

	int withheld;

	AnnouncementModel(int servers, int vmCount) {
		this.serviceCount = Math.max(1, servers / SERVERS_PER_SERVICE);
		for (int i = 0; i < servers; i++) {
			this.current.add(instance(i, "s" + i, 1));
		}
		this.previous.addAll(this.current);
		publish();
		for (int i = 0; i < vmCount; i++) {
			this.vms.add(new EntryVm(i, i < MAX_DISPATCHERS));
		}
		for (int i = 0; i < vmCount; i++) {
			readCatalog(i);
		}
	}

	private BackendInstance instance(int address, String id, long startedAt) {
		return new BackendInstance(new ServerName(id), service(address), "127.0.0.1", 1_000 + address,
				DispatcherFixture.DOMAIN, DispatcherFixture.WEST, 3, false, 0, startedAt);
	}

	private ServiceName service(int number) {
		return new ServiceName("service-" + number % this.serviceCount);
	}

	private void publish() {
		this.revision++;
		Map<ServerName, BackendInstance> next = new HashMap<>();
		this.current.forEach((server) -> next.put(server.id(), server));
		this.published = next;
	}

	private EntryVm vm(int number) {
		return this.vms.get(number % this.vms.size());
	}

	private EntryVm dispatcherOf(ServiceName service) {
		return this.vms.get(Math.floorMod(service.hashCode(), Math.min(MAX_DISPATCHERS, this.vms.size())));
	}

	/**
	 * Lets a server answer with an announcement, possibly in a late response of the run
	 * before.
	 * @param vm the VM that reads the response
	 * @param server the server
	 * @param late whether the response is one of the former run
	 * @param pauseMs the pause that is announced, or 0 if the server is leaving
	 */
	void answer(int vm, int server, boolean late, long pauseMs) {
		int address = server % this.current.size();
		BackendInstance sender = (late ? this.previous : this.current).get(address);
		if (pauseMs > 0) {
			vm(vm).paused(sender, pauseMs);
		}
		else {
			vm(vm).leaving(sender);
		}
	}

	/**
	 * Starts a server again.
	 * @param server the server
	 * @param newId whether it gets another name
	 */
	void restart(int server, boolean newId) {
		int address = server % this.current.size();
		BackendInstance old = this.current.get(address);
		long startedAt = old.startedAtEpochMs() + 1;
		this.previous.set(address, old);
		this.current.set(address,
				instance(address, newId ? "s" + address + "-" + startedAt : old.id().value(), startedAt));
		publish();
	}

	void readCatalog(int vm) {
		vm(vm).readCatalog();
	}

	void advance(long ms) {
		this.clock.advance(ms);
		this.vms.forEach(EntryVm::tick);
	}

	void request(int vm, int service) {
		vm(vm).request(service(service));
	}

	void endRequest(int vm) {
		vm(vm).endRequest();
	}

	/**
	 * One entry VM, with what it was told by servers as the test saw it.
	 */
	private final class EntryVm implements SlotReplies {

		private final VmName name;

		private final ServerAnnouncements announcements = new ServerAnnouncements(AnnouncementModel.this.clock);

		private final SlotDispatcher dispatcher = new SlotDispatcher(AnnouncementModel.this.clock, new SeededRandom(7),
				DispatcherFixture.WEST, DispatcherFixture.LIMITS, (service) -> true, this.announcements, this);

		private final boolean dispatches;

		private final Set<String> toldLeaving = new HashSet<>();

		private final Map<String, Long> toldPauseEnd = new HashMap<>();

		private final ArrayDeque<SlotRelease> running = new ArrayDeque<>();

		private Map<ServerName, BackendInstance> listed = Map.of();

		private EntryVm(int number, boolean dispatches) {
			this.name = new VmName("vm-" + number);
			this.dispatches = dispatches;
		}

		private static String run(BackendInstance server) {
			return server.id() + "@" + server.startedAtEpochMs();
		}

		private void leaving(BackendInstance server) {
			this.announcements.recordLeaving(server);
			this.toldLeaving.add(run(server));
		}

		private void paused(BackendInstance server, long pauseMs) {
			this.announcements.recordPause(server, pauseMs);
			this.toldPauseEnd.merge(run(server), AnnouncementModel.this.clock.millis() + pauseMs, Math::max);
		}

		private boolean isPaused(BackendInstance server) {
			return this.toldPauseEnd.getOrDefault(run(server), 0L) > AnnouncementModel.this.clock.millis();
		}

		private void readCatalog() {
			this.listed = AnnouncementModel.this.published;
			if (this.dispatches) {
				Catalog catalog = new Catalog(
						(item) -> new CatalogItem.ListedServer(this.listed.get(new ServerName(item.key())), 1));
				List<PublishedItem> items = new ArrayList<>();
				this.listed.keySet()
					.forEach((id) -> items.add(new PublishedItem(id.value(), AnnouncementModel.this.revision, "")));
				catalog.replace(items, AnnouncementModel.this.revision, AnnouncementModel.this.clock.millis());
				this.dispatcher.update(catalog);
			}
		}

		private void tick() {
			if (this.dispatches) {
				this.dispatcher.tick();
			}
		}

		private void request(ServiceName service) {
			Map<ServerName, Long> paused = this.announcements.paused(service, this.listed::get);
			this.listed.values().stream().filter((server) -> server.service().equals(service)).forEach((server) -> {
				assertThat(paused.containsKey(server.id())).as("pause of %s", run(server)).isEqualTo(isPaused(server));
				assertThat(this.announcements.isLeaving(server)).as("leaving of %s", run(server))
					.isEqualTo(this.toldLeaving.contains(run(server)));
			});
			SlotId id = new SlotId(this.name, ++AnnouncementModel.this.lastRequestNumber);
			dispatcherOf(service).dispatcher.requestSlot(new SlotRequest(id, service, DispatcherFixture.DOMAIN,
					Set.of(), false, 1, false, SendPurpose.FIRST, 100, 400, 2_000, paused.keySet(), id.number()));
		}

		private void endRequest() {
			SlotRelease release = this.running.poll();
			if (release != null) {
				BackendInstance server = this.listed.get(release.server());
				dispatcherOf((server != null) ? server.service() : service(0)).dispatcher.release(release);
			}
		}

		@Override
		public void granted(SlotId id, ServerName server, String why) {
			BackendInstance placed = this.listed.get(server);
			assertThat(this.toldLeaving).as("runs that left").doesNotContain(run(placed));
			int number = Integer.parseInt(id.vm().value().substring("vm-".length()));
			AnnouncementModel.this.vms.get(number).use(id, server, this);
		}

		private void use(SlotId id, ServerName name, EntryVm granter) {
			BackendInstance server = this.listed.get(name);
			SlotOutcome outcome = SlotOutcome.UNUSED;
			if (server != null && this.announcements.isAvailable(server)) {
				assertThat(this.toldLeaving).as("runs that left").doesNotContain(run(server));
				assertThat(isPaused(server)).as("send in a pause of %s", run(server)).isFalse();
				AnnouncementModel.this.sends++;
				outcome = SlotOutcome.SERVED;
			}
			else if (server != null) {
				assertThat(isPaused(server) || this.toldLeaving.contains(run(server)))
					.as("reason to send nothing to %s", run(server))
					.isTrue();
				AnnouncementModel.this.withheld++;
				if (this.announcements.isLeaving(server)) {
					granter.dispatcher.recordLeaving(id.vm(), ServerRun.of(server));
					granter.toldLeaving.add(run(server));
				}
			}
			SlotRelease release = new SlotRelease(id, name, outcome, 100, 100, ServerLoad.UNKNOWN, id.number());
			if (outcome == SlotOutcome.UNUSED) {
				granter.dispatcher.release(release);
			}
			else {
				this.running.add(release);
			}
		}

		@Override
		public void queued(SlotId id) {
			// The request is granted or refused later.
		}

		@Override
		public void refused(SlotId id, RefusalCause cause, int retryAfterMs) {
			// No server may be used.
		}

		@Override
		public void loadWanted(ServerName server) {
			// The servers of the model report no load.
		}

	}

}
