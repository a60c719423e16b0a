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
 * Probes backend servers that this process owns and that have not been observed recently.
 *
 * <p>
 * Not thread-safe.
 */
final class Prober {

	// A scan of all backend servers is spread over this many ticks.
	private static final int TICKS_PER_SCAN = 4;

	private static final long PROBE_TIMEOUT_MS = 1_000;

	// A probe whose end was not reported by then no longer counts as running.
	private static final long OVERDUE_MARGIN_MS = 1_000;

	private final Clock clock;

	private final Fleet fleet;

	private final ServerTable table;

	private final ServerOutcomeRecorder recorder;

	private final DecisionSink sink;

	private int scanOffset;

	Prober(Clock clock, Fleet fleet, ServerTable table, ServerOutcomeRecorder recorder, DecisionSink sink) {
		this.clock = clock;
		this.fleet = fleet;
		this.table = table;
		this.recorder = recorder;
		this.sink = sink;
	}

	/**
	 * Starts the probes that are due.
	 * @param measuring the settings that hold the probe budget
	 */
	void tick(MeasuringSettings measuring) {
		this.scanOffset = (this.scanOffset + 1) % TICKS_PER_SCAN;
		if (this.fleet.permission() != WorkPermission.OPEN) {
			return;
		}
		List<TrackedServer> servers = this.table.servers();
		for (int i = this.scanOffset; i < servers.size(); i += TICKS_PER_SCAN) {
			probeIfDue(servers.get(i), measuring);
		}
	}

	private void probeIfDue(TrackedServer server, MeasuringSettings measuring) {
		long now = this.clock.millis();
		ProbeBudget budget = server.probeBudget();
		if (budget.isRunning() && now - budget.startedAt() < PROBE_TIMEOUT_MS + OVERDUE_MARGIN_MS) {
			return;
		}
		if (!server.isInService() || !isQuiet(server, measuring.probeQuietMs(), now)) {
			return;
		}
		long ownedMs = this.fleet.ownedForMs(server.definition());
		if (ownedMs <= 0 || this.fleet.isLeaving(server.definition().name())) {
			return;
		}
		if (budget.tryStartProbe(measuring, this.clock.epochMillis(), now)) {
			this.sink.add(new Probe(server.definition(), Math.min(PROBE_TIMEOUT_MS, ownedMs)));
		}
	}

	private boolean isQuiet(TrackedServer server, long quietMs, long now) {
		if (now - server.health().answeredAt() < quietMs) {
			return false;
		}
		ServerEntry peerEntry = this.fleet.peerReport(server.definition().name());
		return peerEntry == null || peerEntry.ageMs() >= quietMs;
	}

	/**
	 * Handles the end of a probe.
	 * @param event the event
	 * @return {@code false} if the event arrived too late
	 */
	boolean handleEnd(ProbeEnded event) {
		@Nullable TrackedServer server = this.table.server(event.server());
		if (server == null || !server.probeBudget().isRunning()) {
			return false;
		}
		server.probeBudget().endProbe();
		this.recorder.recordProbe(server, event.report(), this.clock.millis());
		return true;
	}

}
