package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.settings.model.Settings;

/**
 * Computes which VM owns a backend server in a time window.
 *
 * <p>
 * Invariant: at any time at most one process owns a server, provided that wall clocks
 * differ by at most {@code clockSkewMs} and the caller relies on ownership only while the
 * settings are confirmed. After a change of the list of candidates, ownership is
 * suspended until every process that still uses the old list must have stopped using it.
 * Not thread-safe.
 */
final class Ownership {

	/** Number of VMs that own a server in turn, one in each time window. */
	private static final int ROTATION_SIZE = 3;

	private final VmName self;

	private final Clock clock;

	private final ActiveSettings activeSettings;

	private final Map<Region, List<VmName>> candidatesByRegion = new HashMap<>();

	private final Map<ServerName, List<VmName>> rotations = new HashMap<>();

	private final Map<ServerName, Long> suspendedServers = new HashMap<>();

	private final Map<Region, Long> suspendedRegions = new HashMap<>();

	private Map<ServerName, Region> regionsByServer = Map.of();

	private long allSuspendedUntil;

	private long lastSuspensionMs;

	Ownership(VmName self, Clock clock, ActiveSettings activeSettings) {
		this.self = self;
		this.clock = clock;
		this.activeSettings = activeSettings;
	}

	/**
	 * Applies the settings that are now in force and suspends ownership of the servers
	 * whose owner they may change.
	 * @param previous the settings in force before, or {@code null}
	 * @param confirmedAgeMs time since the previous settings were confirmed in
	 * milliseconds, -1 if they never were
	 */
	void applySettings(@Nullable Settings previous, long confirmedAgeMs) {
		long now = this.clock.millis();
		long suspensionMs = this.activeSettings.exchange().fenceMs() + windowMs();
		long until = now + Math.max(suspensionMs, this.lastSuspensionMs);
		this.lastSuspensionMs = suspensionMs;
		if (previous == null || isTimingChanged(previous) || mayHaveMissedVersion(confirmedAgeMs)) {
			this.allSuspendedUntil = until;
		}
		suspendMovedServersAndChangedRegions(until);
		this.rotations.clear();
		this.suspendedServers.values().removeIf((end) -> end <= now);
		this.suspendedRegions.values().removeIf((end) -> end <= now);
	}

	/**
	 * Returns the remaining time for which this process owns a server.
	 * @param server the server
	 * @return the time in milliseconds, 0 if it does not own it
	 */
	long ownedForMs(BackendServer server) {
		long now = this.clock.millis();
		if (now < this.allSuspendedUntil || now < this.suspendedRegions.getOrDefault(server.region(), Heartbeat.NEVER)
				|| now < this.suspendedServers.getOrDefault(server.name(), Heartbeat.NEVER)) {
			return 0;
		}
		long epochMillis = this.clock.epochMillis();
		long window = Math.floorDiv(epochMillis, windowMs());
		if (!this.self.equals(owner(server, window))) {
			return 0;
		}
		long remainingMs = (window + 1) * windowMs() - epochMillis - this.activeSettings.exchange().clockSkewMs();
		return Math.max(0, remainingMs);
	}

	private @Nullable VmName owner(BackendServer server, long window) {
		List<VmName> rotation = this.rotations.computeIfAbsent(server.name(), (name) -> rotation(server));
		return rotation.isEmpty() ? null : rotation.get((int) Math.floorMod(window, (long) rotation.size()));
	}

	private List<VmName> rotation(BackendServer server) {
		return RendezvousHash.rank(server.name().value(), candidates(server.region()))
			.stream()
			.limit(ROTATION_SIZE)
			.map(EntryVm::name)
			.toList();
	}

	// If a region has no entry VMs, the VMs of all regions are candidates for its
	// servers.
	private List<EntryVm> candidates(Region region) {
		List<EntryVm> inRegion = this.activeSettings.entryVmsIn(region);
		return inRegion.isEmpty() ? this.activeSettings.entryVms() : inRegion;
	}

	private long windowMs() {
		return Math.max(1, this.activeSettings.measuring().coldWindowMs());
	}

	private boolean isTimingChanged(Settings previous) {
		return previous.measuring().coldWindowMs() != this.activeSettings.measuring().coldWindowMs()
				|| previous.exchange().clockSkewMs() != this.activeSettings.exchange().clockSkewMs();
	}

	// A list of candidates that was in force for less than a window was not used by any
	// process, because the suspension lasts longer than that. If more time passed since
	// the last confirmation, this process may have missed a list that others still use,
	// even if the new list equals the previous one.
	private boolean mayHaveMissedVersion(long confirmedAgeMs) {
		return confirmedAgeMs < 0 || confirmedAgeMs > windowMs();
	}

	private void suspendMovedServersAndChangedRegions(long until) {
		Map<ServerName, Region> current = new HashMap<>();
		Settings settings = this.activeSettings.settings();
		if (settings != null) {
			settings.services()
				.forEach((service) -> service.servers()
					.forEach((server) -> current.put(server.name(), server.region())));
		}
		for (Map.Entry<ServerName, Region> server : current.entrySet()) {
			if (!server.getValue().equals(this.regionsByServer.getOrDefault(server.getKey(), server.getValue()))) {
				this.suspendedServers.put(server.getKey(), until);
			}
		}
		this.regionsByServer = current;
		suspendChangedRegions(new HashSet<>(current.values()), until);
	}

	private void suspendChangedRegions(Iterable<Region> regions, long until) {
		Map<Region, List<VmName>> current = new HashMap<>();
		for (Region region : regions) {
			List<VmName> names = candidates(region).stream().map(EntryVm::name).toList();
			current.put(region, names);
			if (!names.equals(this.candidatesByRegion.get(region))) {
				this.suspendedRegions.put(region, until);
			}
		}
		this.candidatesByRegion.clear();
		this.candidatesByRegion.putAll(current);
	}

}
