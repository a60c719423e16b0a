package org.lovagevale.core.request;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.AuditRecorder;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.LoadReport;
import org.lovagevale.settings.model.Priority;

/**
 * Records the results of attempts and probes in the state of backend servers.
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
	 * @param report the load report in the answer, or {@code null}
	 * @param successful whether the status was not a server error
	 * @param now the monotonic time in milliseconds
	 */
	void recordAnswer(Attempt attempt, Priority priority, @Nullable LoadReport report, boolean successful, long now) {
		TrackedServer server = attempt.server();
		server.recordAnswer(report, successful, now);
		if (!successful) {
			addFailure(attempt, priority, now);
		}
		else if (server.isWarm()) {
			server.service().limit().increase();
			addResponse(attempt, priority, now);
		}
		this.table.announce(server, now);
	}

	private void addResponse(Attempt attempt, Priority priority, long now) {
		TrackedServer server = attempt.server();
		ServiceState service = server.service();
		long ms = now - attempt.startedAt();
		boolean slow = server.outcomes().addResponse(priority, ms, service.averages(), now);
		// Without the limit on excluded servers, one slow network link would make all
		// servers of a service look cold.
		if (slow && service.canExcludeServer(now)) {
			server.outcomes().resetMeans();
			server.health().markStateLost(now);
		}
	}

	private void addFailure(Attempt attempt, Priority priority, long now) {
		TrackedServer server = attempt.server();
		ServiceState service = server.service();
		boolean eject = server.outcomes().addFailure(priority, attempt.timeoutMs(), service.averages(), now);
		if (eject && server.isWarm() && service.canExcludeServer(now)) {
			long ms = server.outcomes().eject(now);
			this.audit.add("server.ejected", "server", server.toString(), "ms", Long.toString(ms));
		}
	}

	/**
	 * Records that a backend server rejected a request without running it.
	 * @param attempt the attempt
	 * @param report the load report in the answer, or {@code null}
	 * @param now the monotonic time in milliseconds
	 */
	void recordShed(Attempt attempt, @Nullable LoadReport report, long now) {
		TrackedServer server = attempt.server();
		server.recordAnswer(report, false, now);
		server.recordShed(now);
		this.table.announce(server, now);
	}

	/**
	 * Records that an attempt failed.
	 * @param attempt the attempt
	 * @param priority the priority of the request
	 * @param kind the kind of failure
	 * @param now the monotonic time in milliseconds
	 */
	void recordFailure(Attempt attempt, Priority priority, FailureKind kind, long now) {
		boolean timedOut = kind == FailureKind.TIMED_OUT;
		// The node also reports an attempt that it could not start as a timeout, but
		// before the timeout has passed. That is no failure of the server.
		if (!timedOut || attempt.isTimedOut(now)) {
			addFailure(attempt, priority, now);
		}
		if (!timedOut) {
			attempt.server().health().recordContactFailure(now);
			this.table.announce(attempt.server(), now);
		}
	}

	/**
	 * Records the end of a probe.
	 * @param server the backend server
	 * @param report the load report of the server, or {@code null} if the probe failed
	 * @param now the monotonic time in milliseconds
	 */
	void recordProbe(TrackedServer server, @Nullable LoadReport report, long now) {
		if (report != null) {
			server.recordAnswer(report, true, now);
		}
		else {
			server.health().recordContactFailure(now);
		}
		this.table.announce(server, now);
	}

}
