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
 * Invariant: at any moment at most one process holds a server, if wall clocks differ by
 * at most {@code clockSkewMs} and the caller relies on ownership only while the settings
 * are confirmed. A list that changed is used only after every process that still uses the
 * old one must have stopped. Not thread-safe.
 */
final class Ownership {

	/** VMs that take turns. */
	private static final int TURNS = 3;

	private final VmName self;

	private final Clock clock;

	private final Published published;

	private final Map<Region, List<VmName>> lists = new HashMap<>();

	private final Map<ServerName, List<VmName>> ranks = new HashMap<>();

	private final Map<ServerName, Long> heldServers = new HashMap<>();

	private final Map<Region, Long> heldRegions = new HashMap<>();

	private Map<ServerName, Region> regions = Map.of();

	private long heldUntil;

	private long holdMs;

	Ownership(VmName self, Clock clock, Published published) {
		this.self = self;
		this.clock = clock;
		this.published = published;
	}

	/**
	 * Starts to use the settings that are now in force.
	 * @param previous the settings in force before, or {@code null}
	 * @param confirmedAgeMs time since those were confirmed in milliseconds, -1 if never
	 */
	void adopted(@Nullable Settings previous, long confirmedAgeMs) {
		long now = this.clock.millis();
		long hold = this.published.exchange().fenceMs() + windowMs();
		long until = now + Math.max(hold, this.holdMs);
		this.holdMs = hold;
		if (previous == null || isTimingChanged(previous) || isListMissed(confirmedAgeMs)) {
			this.heldUntil = until;
		}
		holdChanged(until);
		this.ranks.clear();
		this.heldServers.values().removeIf((end) -> end <= now);
		this.heldRegions.values().removeIf((end) -> end <= now);
	}

	/**
	 * Returns the time for which this process owns a server.
	 * @param server the server
	 * @return the time in milliseconds, 0 if it does not own it
	 */
	long ownedForMs(BackendServer server) {
		long now = this.clock.millis();
		if (now < this.heldUntil || now < this.heldRegions.getOrDefault(server.region(), Heartbeat.NEVER)
				|| now < this.heldServers.getOrDefault(server.name(), Heartbeat.NEVER)) {
			return 0;
		}
		long wall = this.clock.epochMillis();
		long window = Math.floorDiv(wall, windowMs());
		if (!this.self.equals(owner(server, window))) {
			return 0;
		}
		long left = (window + 1) * windowMs() - wall - this.published.exchange().clockSkewMs();
		return Math.max(0, left);
	}

	private @Nullable VmName owner(BackendServer server, long window) {
		List<VmName> rank = this.ranks.computeIfAbsent(server.name(), (name) -> rank(server));
		return rank.isEmpty() ? null : rank.get((int) Math.floorMod(window, (long) rank.size()));
	}

	private List<VmName> rank(BackendServer server) {
		return RendezvousHash.rank(server.name().value(), candidates(server.region()))
			.stream()
			.limit(TURNS)
			.map(EntryVm::name)
			.toList();
	}

	private List<EntryVm> candidates(Region region) {
		List<EntryVm> inRegion = this.published.entryVmsIn(region);
		return inRegion.isEmpty() ? this.published.entryVms() : inRegion;
	}

	private long windowMs() {
		return Math.max(1, this.published.measuring().coldWindowMs());
	}

	private boolean isTimingChanged(Settings previous) {
		return previous.measuring().coldWindowMs() != this.published.measuring().coldWindowMs()
				|| previous.exchange().clockSkewMs() != this.published.exchange().clockSkewMs();
	}

	// A list that was published for less than a window was never used by anybody, because
	// it was held for longer. After a longer gap this process may have missed a list that
	// others still use, even if the new list equals the previous one.
	private boolean isListMissed(long confirmedAgeMs) {
		return confirmedAgeMs < 0 || confirmedAgeMs > windowMs();
	}

	private void holdChanged(long until) {
		Map<ServerName, Region> current = new HashMap<>();
		Settings settings = this.published.settings();
		if (settings != null) {
			settings.services()
				.forEach((service) -> service.servers()
					.forEach((server) -> current.put(server.name(), server.region())));
		}
		for (Map.Entry<ServerName, Region> server : current.entrySet()) {
			if (!server.getValue().equals(this.regions.getOrDefault(server.getKey(), server.getValue()))) {
				this.heldServers.put(server.getKey(), until);
			}
		}
		this.regions = current;
		holdChangedLists(new HashSet<>(current.values()), until);
	}

	private void holdChangedLists(Iterable<Region> current, long until) {
		Map<Region, List<VmName>> lists = new HashMap<>();
		for (Region region : current) {
			List<VmName> list = candidates(region).stream().map(EntryVm::name).toList();
			lists.put(region, list);
			if (!list.equals(this.lists.get(region))) {
				this.heldRegions.put(region, until);
			}
		}
		this.lists.clear();
		this.lists.putAll(lists);
	}

}
