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
 * When settings change, the state of services and servers with the same name is kept. Not
 * thread-safe.
 */
final class ServerTable {

	// Every backend server is refreshed from peers and the platform once within this many
	// ticks.
	private static final int REFRESH_TICKS = 4;

	private final VmName self;

	private final Fleet fleet;

	private final AuditRecorder audit;

	private final Map<ServiceName, ServiceState> services = new LinkedHashMap<>();

	private final Map<ServerName, TrackedServer> servers = new HashMap<>();

	private List<TrackedServer> currentServers = List.of();

	private final Deque<ServiceState> releasedServices = new ArrayDeque<>();

	private boolean everConfigured;

	private int refreshIndex;

	ServerTable(VmName self, Fleet fleet, AuditRecorder audit) {
		this.self = self;
		this.fleet = fleet;
		this.audit = audit;
	}

	/**
	 * Applies new settings.
	 * @param settings the settings
	 * @param now the monotonic time in milliseconds
	 */
	void configure(Settings settings, long now) {
		EntryVm selfVm = settings.entryVm(this.self).orElse(null);
		List<TrackedServer> next = new ArrayList<>();
		Set<ServiceName> serviceNames = new HashSet<>();
		for (ServiceSettings service : settings.services()) {
			serviceNames.add(service.name());
			next.addAll(configure(service, selfVm, settings.entryVms(), now));
		}
		Set<TrackedServer> kept = new HashSet<>(next);
		for (TrackedServer server : this.servers.values()) {
			if (!kept.contains(server)) {
				server.markRemoved();
			}
		}
		this.servers.values().removeIf((server) -> !kept.contains(server) && server.inFlight() == 0);
		this.services.keySet().retainAll(serviceNames);
		this.everConfigured = true;
		this.currentServers = List.copyOf(next);
		this.currentServers.forEach((server) -> refresh(server, now));
		this.services.values().forEach(ServiceState::updateLimit);
	}

	private List<TrackedServer> configure(ServiceSettings service, @Nullable EntryVm selfVm, List<EntryVm> entryVms,
			long now) {
		ServiceState state = this.services.computeIfAbsent(service.name(),
				(name) -> new ServiceState(name, service.policy(), this.releasedServices));
		state.setPolicy(service.policy());
		// A new process may use what peers observed before it started. A server that is
		// added later must not: if it returns to the settings, older observations are
		// outdated.
		long knownSince = (this.everConfigured) ? now : now - ServerHealth.MAX_PEER_ENTRY_AGE_MS;
		List<TrackedServer> tracked = new ArrayList<>();
		for (BackendServer definition : service.servers()) {
			TrackedServer server = this.servers.computeIfAbsent(definition.name(),
					(name) -> new TrackedServer(definition, state, knownSince));
			ServerLocality locality = ServerLocality.of(definition, service.policy().connections(), selfVm, entryVms);
			server.configure(definition, state, locality, now);
			tracked.add(server);
		}
		state.setServers(tracked.toArray(new TrackedServer[0]), entryVms.size());
		return tracked;
	}

	ServiceState service(ServiceName name) {
		return Objects.requireNonNull(this.services.get(name));
	}

	Collection<ServiceState> services() {
		return this.services.values();
	}

	/**
	 * Returns and removes the next service with capacity that became free since the
	 * service was last returned.
	 * @return the service, or {@code null} if there is none
	 */
	@Nullable ServiceState takeReleased() {
		while (!this.releasedServices.isEmpty()) {
			ServiceState service = this.releasedServices.removeFirst();
			if (service.takeReleased()) {
				return service;
			}
		}
		return null;
	}

	List<TrackedServer> servers() {
		return this.currentServers;
	}

	@Nullable TrackedServer server(ServerName name) {
		return this.servers.get(name);
	}

	/**
	 * Refreshes some backend servers from the data of peers and the platform, and updates
	 * the concurrency limits of all services.
	 * @param now the monotonic time in milliseconds
	 */
	void tick(long now) {
		int count = (this.currentServers.size() + REFRESH_TICKS - 1) / REFRESH_TICKS;
		for (int i = 0; i < count; i++) {
			this.refreshIndex = (this.refreshIndex + 1) % this.currentServers.size();
			refresh(this.currentServers.get(this.refreshIndex), now);
		}
		this.services.values().forEach(ServiceState::updateLimit);
	}

	/**
	 * Announces the observed state of a backend server to peers, and records a change of
	 * state in the audit log.
	 * @param server the backend server
	 * @param now the monotonic time in milliseconds
	 */
	void announce(TrackedServer server, long now) {
		if (server.markAnnouncedIfDue(now)) {
			ServerHealth health = server.health();
			this.fleet.recordState(server.definition().name(), health.state(), health.boot());
		}
		auditStateChange(server);
	}

	private void auditStateChange(TrackedServer server) {
		String change = server.takeStateChange();
		if (!change.isEmpty()) {
			this.audit.add("server.state", "server", server.toString(), "change", change);
		}
	}

	private void refresh(TrackedServer server, long now) {
		ServerName name = server.definition().name();
		server.setLeaving(this.fleet.isLeaving(name), now);
		ServerEntry peerEntry = this.fleet.peerReport(name);
		if (peerEntry != null) {
			server.health().applyPeerEntry(peerEntry, now);
		}
		server.health().expireDraining(now);
		auditStateChange(server);
	}

	/**
	 * Returns the status of all backend servers, for display to operators.
	 * @param now the monotonic time in milliseconds
	 * @return the status of each server, in the order of the settings
	 */
	List<ServerStatus> statuses(long now) {
		List<ServerStatus> statuses = new ArrayList<>();
		for (TrackedServer server : this.currentServers) {
			statuses.add(new ServerStatus(server.toString(), server.service().name().value(), server.health().state(),
					server.inFlight(), server.score(now), this.fleet.ownedForMs(server.definition()) > 0,
					server.outcomes().isEjected(now)));
		}
		return statuses;
	}

}
