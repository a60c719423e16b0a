package org.lovagevale.core.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.AuditRecorder;
import org.lovagevale.core.ServerStatus;
import org.lovagevale.core.fleet.Fleet;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.ServiceSettings;
import org.lovagevale.settings.model.Settings;

/**
 * All services and backend servers of the settings in force.
 *
 * <p>
 * State is kept by name when settings change. Not thread-safe.
 */
final class ServerTable {

	// All backend servers are compared with what peers say within this many ticks.
	private static final int REFRESH_TICKS = 4;

	private final VmName self;

	private final Fleet fleet;

	private final AuditRecorder audit;

	private final Map<ServiceName, ServicePool> pools = new LinkedHashMap<>();

	private final Map<ServerName, TrackedServer> servers = new HashMap<>();

	private List<TrackedServer> listed = List.of();

	private final Deque<ServicePool> released = new ArrayDeque<>();

	private boolean configured;

	private int cursor;

	ServerTable(VmName self, Fleet fleet, AuditRecorder audit) {
		this.self = self;
		this.fleet = fleet;
		this.audit = audit;
	}

	/**
	 * Uses other settings from now on.
	 * @param settings the settings
	 * @param now the monotonic time in milliseconds
	 */
	void configure(Settings settings, long now) {
		EntryVm own = settings.entryVm(this.self).orElse(null);
		List<TrackedServer> next = new ArrayList<>();
		Set<ServiceName> services = new HashSet<>();
		for (ServiceSettings service : settings.services()) {
			services.add(service.name());
			next.addAll(configure(service, own, settings.entryVms(), now));
		}
		Set<TrackedServer> kept = new HashSet<>(next);
		for (TrackedServer server : this.servers.values()) {
			if (!kept.contains(server)) {
				server.remove();
			}
		}
		this.servers.values().removeIf((server) -> !kept.contains(server) && server.inFlight() == 0);
		this.pools.keySet().retainAll(services);
		this.configured = true;
		this.listed = List.copyOf(next);
		this.listed.forEach((server) -> refresh(server, now));
		this.pools.values().forEach(ServicePool::updateLimit);
	}

	private List<TrackedServer> configure(ServiceSettings service, @Nullable EntryVm own, List<EntryVm> entryVms,
			long now) {
		ServicePool pool = this.pools.computeIfAbsent(service.name(),
				(name) -> new ServicePool(name, service.policy(), this.released));
		pool.usePolicy(service.policy());
		// A new process may use what peers observed before it started, but a backend
		// server that returns starts anew.
		long knownSince = (this.configured) ? now : now - ServerHealth.MOST_PEER_AGE_MS;
		List<TrackedServer> tracked = new ArrayList<>();
		for (BackendServer definition : service.servers()) {
			TrackedServer server = this.servers.computeIfAbsent(definition.name(),
					(name) -> new TrackedServer(definition, pool, knownSince));
			Placement placement = Placement.of(definition, service.policy().connections(), own, entryVms);
			server.configure(definition, pool, placement, now);
			tracked.add(server);
		}
		pool.useServers(tracked.toArray(new TrackedServer[0]), entryVms.size());
		return tracked;
	}

	ServicePool pool(ServiceName name) {
		return Objects.requireNonNull(this.pools.get(name));
	}

	Collection<ServicePool> pools() {
		return this.pools.values();
	}

	/**
	 * Finds a service where capacity became free since it was last returned.
	 * @return the service, or {@code null} if there is none
	 */
	@Nullable ServicePool takeReleased() {
		while (!this.released.isEmpty()) {
			ServicePool pool = this.released.removeFirst();
			if (pool.takeReleased()) {
				return pool;
			}
		}
		return null;
	}

	List<TrackedServer> servers() {
		return this.listed;
	}

	@Nullable TrackedServer server(ServerName name) {
		return this.servers.get(name);
	}

	/**
	 * Compares some backend servers with what peers and the platform say, and the limits
	 * of services with their usable backend servers.
	 * @param now the monotonic time in milliseconds
	 */
	void tick(long now) {
		int count = (this.listed.size() + REFRESH_TICKS - 1) / REFRESH_TICKS;
		for (int i = 0; i < count; i++) {
			this.cursor = (this.cursor + 1) % this.listed.size();
			refresh(this.listed.get(this.cursor), now);
		}
		this.pools.values().forEach(ServicePool::updateLimit);
	}

	/**
	 * Tells peers and operators what this process observed of a backend server.
	 * @param server the backend server
	 * @param now the monotonic time in milliseconds
	 */
	void announce(TrackedServer server, long now) {
		if (server.takeTelling(now)) {
			ServerHealth health = server.health();
			this.fleet.recordState(server.definition().name(), health.state(), health.boot());
		}
		noteState(server);
	}

	private void noteState(TrackedServer server) {
		String change = server.takeStateChange();
		if (!change.isEmpty()) {
			this.audit.add("server.state", "server", server.toString(), "change", change);
		}
	}

	private void refresh(TrackedServer server, long now) {
		ServerName name = server.definition().name();
		server.useLeaving(this.fleet.isLeaving(name), now);
		ServerEntry heard = this.fleet.peerReport(name);
		if (heard != null) {
			server.health().heard(heard, now);
		}
		server.health().age(now);
		noteState(server);
	}

	/**
	 * Returns the backend servers for operators.
	 * @param now the monotonic time in milliseconds
	 * @return the status of each, in the order of the settings
	 */
	List<ServerStatus> statuses(long now) {
		List<ServerStatus> statuses = new ArrayList<>();
		for (TrackedServer server : this.listed) {
			statuses.add(new ServerStatus(server.toString(), server.pool().name().value(), server.health().state(),
					server.inFlight(), server.score(now), this.fleet.ownedForMs(server.definition()) > 0,
					server.outcomes().isEjected(now)));
		}
		return statuses;
	}

}
