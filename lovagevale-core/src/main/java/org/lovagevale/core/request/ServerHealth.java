package org.lovagevale.core.request;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.message.ServerEntry;

/**
 * The state of a backend server, from its answers, lost connections and peers.
 *
 * <p>
 * Invariant: the state becomes warm only after two reports of it, after enough good
 * answers without reports, or because a peer observed that. Not thread-safe.
 */
final class ServerHealth {

	private static final int WARM_REPORTS = 2;

	// A draining backend server gets no traffic, so it cannot tell that it is back.
	private static final long DRAINING_HOLD_MS = 30_000;

	// A quiet backend server is probed every 5 s; older entries are outdated.
	static final long MOST_PEER_AGE_MS = 15_000;

	// Entries travel without their transit time, so they may look newer than they are.
	private static final long PEER_AGE_ERROR_MS = 250;

	private ServerState state = ServerState.UNKNOWN;

	private String boot = "";

	private int warmReports;

	private int goodAnswers;

	private long changedAt;

	private long evidenceAt;

	private long answeredAt;

	private boolean down;

	private boolean probeFirst;

	private boolean lostState;

	/**
	 * Creates the health of a backend server that is not known yet.
	 * @param knownSince the monotonic time in milliseconds from which observations of
	 * peers count
	 */
	ServerHealth(long knownSince) {
		this.changedAt = knownSince;
		this.evidenceAt = knownSince;
		this.answeredAt = knownSince;
	}

	ServerState state() {
		return this.state;
	}

	String boot() {
		return this.boot;
	}

	long answeredAt() {
		return this.answeredAt;
	}

	/**
	 * Tells whether the last contact failed, so that a probe should come before requests.
	 * @return {@code true} if it may be down
	 */
	boolean isDown() {
		return this.down;
	}

	/**
	 * Tells whether it was draining when last heard of, so that a probe must come before
	 * requests.
	 * @return {@code true} if no request may be sent yet
	 */
	boolean isProbeFirst() {
		return this.probeFirst;
	}

	/**
	 * Uses an answer or a probe.
	 * @param report the report in it, or {@code null}
	 * @param good whether the answer was successful
	 * @param warmAfterAnswers good answers after which a backend server without reports
	 * is warm
	 * @param now the monotonic time in milliseconds
	 */
	void answered(@Nullable LoadReport report, boolean good, int warmAfterAnswers, long now) {
		this.answeredAt = now;
		this.evidenceAt = now;
		this.down = false;
		if (report == null || report.state() == ServerState.UNKNOWN) {
			answeredWithoutState(good, warmAfterAnswers, now);
			return;
		}
		if (isRestart(report)) {
			reset(now);
		}
		if (!report.boot().isEmpty()) {
			this.boot = report.boot();
		}
		switch (report.state()) {
			case WARM -> reportedWarm(now);
			case COLD -> become(ServerState.COLD, now);
			case DRAINING -> become(ServerState.DRAINING, now);
			default -> throw new IllegalStateException("unexpected state " + report.state());
		}
	}

	private boolean isRestart(LoadReport report) {
		return !report.boot().isEmpty() && !this.boot.isEmpty() && !report.boot().equals(this.boot);
	}

	private void answeredWithoutState(boolean good, int warmAfterAnswers, long now) {
		if (this.state == ServerState.WARM || this.state == ServerState.DRAINING || !good) {
			return;
		}
		this.probeFirst = false;
		this.goodAnswers++;
		if (this.goodAnswers >= warmAfterAnswers) {
			become(ServerState.WARM, now);
		}
	}

	private void reportedWarm(long now) {
		this.probeFirst = false;
		if (this.state == ServerState.WARM) {
			return;
		}
		if (this.state == ServerState.DRAINING) {
			reset(now);
		}
		this.warmReports++;
		if (this.warmReports >= WARM_REPORTS) {
			become(ServerState.WARM, now);
		}
	}

	/**
	 * Records that a connection was lost or could not be opened, or a probe failed.
	 * @param now the monotonic time in milliseconds
	 */
	void contactFailed(long now) {
		this.down = true;
		reset(now);
	}

	/**
	 * Forgets the state, since the backend server may have started again; peers should
	 * know.
	 * @param now the monotonic time in milliseconds
	 */
	void reset(long now) {
		forget(now);
		this.lostState = true;
	}

	/**
	 * Forgets the state of a backend server that returns, as all processes do.
	 * @param now the monotonic time in milliseconds
	 */
	void forget(long now) {
		this.boot = "";
		this.lostState = false;
		become(ServerState.UNKNOWN, now);
	}

	/**
	 * Tells whether this process itself found the state to be lost since the last call.
	 * @return {@code true} if peers should be told
	 */
	boolean takeLostState() {
		boolean was = this.lostState;
		this.lostState = false;
		return was;
	}

	private void become(ServerState next, long now) {
		this.warmReports = 0;
		this.goodAnswers = 0;
		this.evidenceAt = now;
		this.state = next;
		this.changedAt = now;
		if (next == ServerState.COLD) {
			this.probeFirst = false;
		}
	}

	/**
	 * Uses what a peer observed, if that is newer than what this process knows.
	 * @param entry the entry of the peer
	 * @param now the monotonic time in milliseconds
	 */
	void heard(ServerEntry entry, long now) {
		if (entry.ageMs() > MOST_PEER_AGE_MS) {
			return;
		}
		long observedAt = now - entry.ageMs();
		ServerState heard = stateOf(entry);
		if (heard == null || heard == this.state) {
			return;
		}
		if (heard == ServerState.WARM) {
			heardWarm(entry, observedAt, now);
		}
		else if (observedAt > this.evidenceAt && (heard != ServerState.UNKNOWN || this.state == ServerState.WARM)) {
			become(heard, now);
			this.boot = entry.boot();
			this.evidenceAt = observedAt;
		}
	}

	private static @Nullable ServerState stateOf(ServerEntry entry) {
		for (ServerState state : ServerState.values()) {
			if (state.name().equals(entry.state())) {
				return state;
			}
		}
		return null;
	}

	private void heardWarm(ServerEntry entry, long observedAt, long now) {
		boolean otherRun = !this.boot.isEmpty() && !entry.boot().isEmpty() && !this.boot.equals(entry.boot());
		if (otherRun || observedAt <= this.changedAt + PEER_AGE_ERROR_MS) {
			return;
		}
		become(ServerState.WARM, now);
		this.boot = entry.boot();
		this.evidenceAt = observedAt;
		this.down = false;
		this.probeFirst = false;
	}

	/**
	 * Lets the state of a backend server that was draining for long become unknown.
	 * @param now the monotonic time in milliseconds
	 */
	void age(long now) {
		if (this.state == ServerState.DRAINING && now - this.evidenceAt >= DRAINING_HOLD_MS) {
			forget(now);
			this.probeFirst = true;
		}
	}

}
