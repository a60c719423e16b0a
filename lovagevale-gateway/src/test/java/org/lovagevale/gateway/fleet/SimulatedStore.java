package org.lovagevale.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.core.catalog.Catalog;
import org.lovagevale.core.catalog.PublishedItem;
import org.lovagevale.gateway.CatalogState;

/**
 * A store in which backend servers register themselves. Entries expire after three missed
 * heartbeats, also while the store is down; live servers register again within
 * {@link #MAX_REGISTRATION_MS} of its return. An outage of up to
 * {@link #MAX_OUTLASTED_MS}, which entry VMs may not notice, neither makes entries of
 * live servers expire nor delays registrations beyond its end.
 */
final class SimulatedStore {

	static final long HEARTBEAT_MS = 1_500;

	static final long EXPIRY_MS = 3 * HEARTBEAT_MS;

	static final long MAX_REGISTRATION_MS = 2_000;

	/** Includes the time that reads and messages take. */
	static final long MAX_OUTLASTED_MS = Catalog.OUTAGE_THRESHOLD_MS + 200;

	private final Clock clock;

	private final Map<String, Server> servers = new TreeMap<>();

	private long revision = 10;

	private long downSince;

	private long downUntil = Long.MIN_VALUE;

	private long upSince;

	/** When the store came back after a longer outage. */
	private long returnedAt;

	SimulatedStore(Clock clock) {
		this.clock = clock;
		this.upSince = clock.millis();
		this.returnedAt = this.upSince;
	}

	void start(String name) {
		this.servers.put(name, new Server(this.clock.millis(), this.clock.millis()));
	}

	// A server that leaves without reporting that it is draining.
	void leave(String name) {
		Server server = this.servers.get(name);
		if (server != null && server.live && isUp()) {
			server.live = false;
			remove(server);
		}
	}

	void crash(String name) {
		Server server = this.servers.get(name);
		if (server != null) {
			server.live = false;
		}
	}

	void restart(String name) {
		Server server = this.servers.get(name);
		if (server != null && !server.live && server.removedAt != Long.MAX_VALUE && isUp()) {
			start(name);
		}
	}

	void takeDown(long durationMs) {
		if (isUp()) {
			this.downSince = this.clock.millis();
		}
		this.downUntil = Math.max(this.downUntil, this.clock.millis() + durationMs);
	}

	boolean isUp() {
		return this.clock.millis() >= this.downUntil;
	}

	long upForMs() {
		return isUp() ? this.clock.millis() - this.upSince : 0;
	}

	void step() {
		long now = this.clock.millis();
		long outageMs = Math.min(now, this.downUntil) - this.downSince;
		boolean noticed = outageMs > MAX_OUTLASTED_MS;
		if (!isUp()) {
			this.upSince = this.downUntil;
			this.returnedAt = noticed ? this.downUntil : this.returnedAt;
		}
		for (Map.Entry<String, Server> entry : this.servers.entrySet()) {
			Server server = entry.getValue();
			long delayMs = Math.floorMod(entry.getKey().hashCode() * 37L, MAX_REGISTRATION_MS);
			boolean due = (server.reportedAt < this.returnedAt) ? now - this.returnedAt >= delayMs
					: now - server.reportedAt >= HEARTBEAT_MS;
			if (server.live && isUp() && (due || server.reports == 0)) {
				server.reports++;
				server.reportedAt = now;
				server.revision = ++this.revision;
				server.registeredSince = Math.min(server.registeredSince, now);
			}
			if (server.isRegistered() && now - server.reportedAt > EXPIRY_MS && (!server.live || noticed)) {
				remove(server);
			}
		}
	}

	private void remove(Server server) {
		server.revision = 0;
		server.registeredSince = Long.MAX_VALUE;
		server.removedAt = this.clock.millis();
		this.revision++;
	}

	CatalogState read() {
		List<PublishedItem> items = new ArrayList<>();
		this.servers.forEach((name, server) -> {
			if (server.isRegistered()) {
				items.add(new PublishedItem(name, server.revision, server.startedAt + " " + server.reports));
			}
		});
		return new CatalogState(items, this.revision);
	}

	Map<String, Server> servers() {
		return this.servers;
	}

	@Nullable Server find(String name) {
		return this.servers.get(name);
	}

	/** A run of a backend server with its entry. */
	static final class Server {

		final long startedAt;

		boolean live = true;

		/** When the entry was last removed, {@link Long#MAX_VALUE} if never. */
		long removedAt = Long.MAX_VALUE;

		/** {@link Long#MAX_VALUE} if there is no entry. */
		long registeredSince = Long.MAX_VALUE;

		private long reportedAt;

		private long reports;

		private long revision;

		Server(long startedAt, long reportedAt) {
			this.startedAt = startedAt;
			this.reportedAt = reportedAt;
		}

		boolean isRegistered() {
			return this.revision != 0;
		}

	}

}
