package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.catalog.BackendInstance;

/**
 * What backend servers have announced in their responses to this process: that they are
 * leaving, or that they want no requests from this process for some time.
 *
 * <p>
 * Invariants: an announcement holds for one run of a server, whatever the catalog or
 * another process says, and never for a later run; a run that is leaving stays so; the
 * end of a pause never moves to an earlier time. At most {@link #MAX_RUNS} runs that are
 * leaving and as many pauses are remembered, the latest ones. Not thread-safe.
 */
public final class ServerAnnouncements {

	/** Several times the number of servers of the largest deployment. */
	static final int MAX_RUNS = 20_000;

	/** Longer pauses are shortened to this time, in milliseconds. */
	static final long MAX_PAUSE_MS = 3_600_000;

	private final Clock clock;

	private final Set<ServerRun> leaving = Collections.newSetFromMap(new BoundedMap());

	/** The pauses in the order in which they were last recorded. */
	private final Map<ServerRun, Pause> pauses = new LinkedHashMap<>();

	/** The keys of {@link #pauses} by service. */
	private final Map<ServiceName, Set<ServerRun>> pausedRuns = new HashMap<>();

	private long leavingVersion;

	/**
	 * Creates an instance without announcements.
	 * @param clock the clock
	 */
	public ServerAnnouncements(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that a server is leaving.
	 * @param server the run of the server that sent the response
	 * @return {@code true} if this was not known
	 */
	public boolean recordLeaving(BackendInstance server) {
		return recordLeaving(ServerRun.of(server));
	}

	/**
	 * Records that a server has announced its leaving to this or another process.
	 * @param run the run that is leaving
	 * @return {@code true} if this was not known
	 */
	public boolean recordLeaving(ServerRun run) {
		boolean added = this.leaving.add(run);
		this.leavingVersion += added ? 1 : 0;
		return added;
	}

	/**
	 * Tells whether a server has announced that it is leaving.
	 * @param server the run of the server
	 * @return {@code true} if nothing may be sent to it any more
	 */
	public boolean isLeaving(BackendInstance server) {
		return this.leaving.contains(ServerRun.of(server));
	}

	/**
	 * Returns a number that changes when the first announcement of a run is recorded.
	 * @return the number
	 */
	long leavingVersion() {
		return this.leavingVersion;
	}

	/**
	 * Records that a server wants no requests from this process for some time.
	 * @param server the run of the server that sent the response
	 * @param pauseMs the time in milliseconds; longer times than {@link #MAX_PAUSE_MS}
	 * are shortened
	 */
	public void recordPause(BackendInstance server, long pauseMs) {
		if (pauseMs < 0) {
			throw new IllegalArgumentException("pause of " + pauseMs + " ms");
		}
		ServerRun run = ServerRun.of(server);
		Pause next = new Pause(server.service(), this.clock.millis() + Math.min(MAX_PAUSE_MS, pauseMs));
		Pause known = removePause(run);
		put(run, (known != null) ? known.later(next) : next);
		if (this.pauses.size() > MAX_RUNS) {
			removePause(this.pauses.keySet().iterator().next());
		}
	}

	private void put(ServerRun run, Pause pause) {
		this.pauses.put(run, pause);
		this.pausedRuns.computeIfAbsent(pause.service(), (service) -> new HashSet<>()).add(run);
	}

	private @Nullable Pause removePause(ServerRun run) {
		Pause removed = this.pauses.remove(run);
		if (removed != null) {
			this.pausedRuns.computeIfPresent(removed.service(), (service, runs) -> {
				runs.remove(run);
				return runs.isEmpty() ? null : runs;
			});
		}
		return removed;
	}

	/**
	 * Returns how long a server wants no requests from this process.
	 * @param server the run of the server
	 * @return the time left in milliseconds, 0 if the server is not paused
	 */
	public long pauseLeftMs(BackendInstance server) {
		Pause pause = this.pauses.get(ServerRun.of(server));
		return (pause != null) ? Math.max(0, pause.endsAt() - this.clock.millis()) : 0;
	}

	/**
	 * Tells whether a server may get a request from this process now.
	 * @param server the run of the server
	 * @return {@code false} if it is leaving or paused
	 */
	public boolean isAvailable(BackendInstance server) {
		return !isLeaving(server) && pauseLeftMs(server) == 0;
	}

	/**
	 * Returns the listed servers of a service that are paused, and forgets the pauses of
	 * the service that have ended.
	 * @param service the service
	 * @param listed provides the current run of a server, {@code null} if there is none
	 * @return the time left of each pause, in milliseconds
	 */
	public Map<ServerName, Long> paused(ServiceName service, Function<ServerName, @Nullable BackendInstance> listed) {
		Map<ServerName, Long> paused = new HashMap<>();
		List<ServerRun> ended = new ArrayList<>();
		long now = this.clock.millis();
		for (ServerRun run : this.pausedRuns.getOrDefault(service, Set.of())) {
			Pause pause = this.pauses.get(run);
			if (pause == null || pause.endsAt() <= now) {
				ended.add(run);
				continue;
			}
			BackendInstance current = listed.apply(run.server());
			if (current != null && ServerRun.of(current).equals(run)) {
				paused.put(run.server(), pause.endsAt() - now);
			}
		}
		ended.forEach(this::removePause);
		return paused;
	}

	/**
	 * A time in which a server wants no requests from this process.
	 *
	 * @param service the service of the server
	 * @param endsAt the monotonic time of the end, in milliseconds
	 */
	private record Pause(ServiceName service, long endsAt) {

		private Pause later(Pause next) {
			return (next.endsAt > this.endsAt) ? next : this;
		}

	}

	/**
	 * Forgets the oldest of more than {@link #MAX_RUNS} entries. Not thread-safe.
	 */
	private static final class BoundedMap extends LinkedHashMap<ServerRun, Boolean> {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<ServerRun, Boolean> eldest) {
			return size() > MAX_RUNS;
		}

	}

}
