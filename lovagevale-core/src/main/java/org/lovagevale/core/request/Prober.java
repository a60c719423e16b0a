package org.lovagevale.core.request;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.decision.Probe;
import org.lovagevale.core.event.ProbeEnded;
import org.lovagevale.core.fleet.Fleet;
import org.lovagevale.core.fleet.WorkPermission;
import org.lovagevale.core.message.ServerEntry;
import org.lovagevale.settings.model.MeasuringSettings;

/**
 * Probes backend servers that this process owns and of which nothing was heard.
 *
 * <p>
 * Not thread-safe.
 */
final class Prober {

	// Each tick looks at a part of the backend servers.
	private static final int PARTS = 4;

	private static final long TIMEOUT_MS = 1_000;

	private static final long OVERDUE_MS = 1_000;

	private final Clock clock;

	private final Fleet fleet;

	private final ServerTable table;

	private final ServerOutcomeRecorder recorder;

	private final DecisionSink sink;

	private int part;

	Prober(Clock clock, Fleet fleet, ServerTable table, ServerOutcomeRecorder recorder, DecisionSink sink) {
		this.clock = clock;
		this.fleet = fleet;
		this.table = table;
		this.recorder = recorder;
		this.sink = sink;
	}

	/**
	 * Starts probes that are due.
	 * @param measuring the budget
	 */
	void tick(MeasuringSettings measuring) {
		this.part = (this.part + 1) % PARTS;
		if (this.fleet.permission() != WorkPermission.OPEN) {
			return;
		}
		List<TrackedServer> servers = this.table.servers();
		for (int i = this.part; i < servers.size(); i += PARTS) {
			probeIfDue(servers.get(i), measuring);
		}
	}

	private void probeIfDue(TrackedServer server, MeasuringSettings measuring) {
		long now = this.clock.millis();
		ProbeBudget budget = server.probes();
		if (budget.isRunning() && now - budget.startedAt() < TIMEOUT_MS + OVERDUE_MS) {
			return;
		}
		if (!server.isInService() || !isQuiet(server, measuring.probeQuietMs(), now)) {
			return;
		}
		long ownedMs = this.fleet.ownedForMs(server.definition());
		if (ownedMs <= 0 || this.fleet.isLeaving(server.definition().name())) {
			return;
		}
		if (budget.tryStart(measuring, this.clock.epochMillis(), now)) {
			this.sink.add(new Probe(server.definition(), Math.min(TIMEOUT_MS, ownedMs)));
		}
	}

	private boolean isQuiet(TrackedServer server, long quietMs, long now) {
		if (now - server.health().answeredAt() < quietMs) {
			return false;
		}
		ServerEntry heard = this.fleet.peerReport(server.definition().name());
		return heard == null || heard.ageMs() >= quietMs;
	}

	/**
	 * Handles the end of a probe.
	 * @param event the event
	 * @return {@code false} if the event came late
	 */
	boolean ended(ProbeEnded event) {
		@Nullable TrackedServer server = this.table.server(event.server());
		if (server == null || !server.probes().isRunning()) {
			return false;
		}
		server.probes().end();
		this.recorder.probed(server, event.report(), this.clock.millis());
		return true;
	}

}
