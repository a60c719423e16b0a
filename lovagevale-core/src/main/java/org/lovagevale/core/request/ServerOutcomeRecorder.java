package org.lovagevale.core.request;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.AuditRecorder;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.LoadReport;
import org.lovagevale.settings.model.Priority;

/**
 * Tells the state of backend servers what became of attempts and probes.
 *
 * <p>
 * Not thread-safe.
 */
final class ServerOutcomeRecorder {

	private final ServerTable table;

	private final AuditRecorder audit;

	ServerOutcomeRecorder(ServerTable table, AuditRecorder audit) {
		this.table = table;
		this.audit = audit;
	}

	/**
	 * Records that a backend server answered.
	 * @param attempt the attempt
	 * @param priority the priority of the request
	 * @param report the load in the answer, or {@code null}
	 * @param good whether it was no server error
	 * @param now the monotonic time in milliseconds
	 */
	void answered(Attempt attempt, Priority priority, @Nullable LoadReport report, boolean good, long now) {
		TrackedServer server = attempt.server();
		server.answered(report, good, now);
		if (!good) {
			failure(attempt, priority, now);
		}
		else if (server.isWarm()) {
			server.pool().limit().increase();
			response(attempt, priority, now);
		}
		this.table.announce(server, now);
	}

	private void response(Attempt attempt, Priority priority, long now) {
		TrackedServer server = attempt.server();
		ServicePool pool = server.pool();
		long ms = now - attempt.startedAt();
		boolean slow = server.outcomes().addResponse(priority, ms, pool.averages(), now);
		// Without the bound, one slow link would make a whole service look cold.
		if (slow && pool.canSetAside(now)) {
			server.outcomes().resetMeans();
			server.health().reset(now);
		}
	}

	private void failure(Attempt attempt, Priority priority, long now) {
		TrackedServer server = attempt.server();
		ServicePool pool = server.pool();
		boolean eject = server.outcomes().addFailure(priority, attempt.timeoutMs(), pool.averages(), now);
		if (eject && server.isWarm() && pool.canSetAside(now)) {
			long ms = server.outcomes().eject(now);
			this.audit.add("server.ejected", "server", server.toString(), "ms", Long.toString(ms));
		}
	}

	/**
	 * Records that a backend server rejected a request without running it.
	 * @param attempt the attempt
	 * @param report the load in the answer, or {@code null}
	 * @param now the monotonic time in milliseconds
	 */
	void shed(Attempt attempt, @Nullable LoadReport report, long now) {
		TrackedServer server = attempt.server();
		server.answered(report, false, now);
		server.shed(now);
		this.table.announce(server, now);
	}

	/**
	 * Records that an attempt failed.
	 * @param attempt the attempt
	 * @param priority the priority of the request
	 * @param kind how it failed
	 * @param now the monotonic time in milliseconds
	 */
	void failed(Attempt attempt, Priority priority, FailureKind kind, long now) {
		boolean timedOut = kind == FailureKind.TIMED_OUT;
		// The node also ends an attempt with a timeout, but early, that it could not
		// make.
		if (!timedOut || attempt.isOver(now)) {
			failure(attempt, priority, now);
		}
		if (!timedOut) {
			attempt.server().health().contactFailed(now);
			this.table.announce(attempt.server(), now);
		}
	}

	/**
	 * Records the end of a probe.
	 * @param server the backend server
	 * @param report its load, or {@code null} if the probe failed
	 * @param now the monotonic time in milliseconds
	 */
	void probed(TrackedServer server, @Nullable LoadReport report, long now) {
		if (report != null) {
			server.answered(report, true, now);
		}
		else {
			server.health().contactFailed(now);
		}
		this.table.announce(server, now);
	}

}
