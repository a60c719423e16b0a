package org.lovagevale.core.request;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.message.ServerEntry;

/**
 * The state of a backend server, derived from its answers, failed connections and the
 * observations of peers.
 *
 * <p>
 * Invariant: the state becomes warm only after two reports of that state, after enough
 * successful answers without reports, or because a peer has observed it as warm. Not
 * thread-safe.
 */
final class ServerHealth {

	private static final int REQUIRED_WARM_REPORTS = 2;

	// A draining backend server gets no traffic, so it cannot report that it is available
	// again. Its state is reset to unknown after this time.
	private static final long DRAINING_EXPIRY_MS = 30_000;

	// A backend server without traffic is probed every 5 s, so entries older than this
	// are outdated.
	static final long MAX_PEER_ENTRY_AGE_MS = 15_000;

	// The age of an entry does not include its transit time, so the entry may look newer
	// than it is.
	private static final long PEER_AGE_TOLERANCE_MS = 250;

	private ServerState state = ServerState.UNKNOWN;

	private String boot = "";

	private int warmReports;

	private int successfulAnswers;

	private long changedAt;

	private long lastObservedAt;

	private long answeredAt;

	private boolean mayBeDown;

	private boolean probeRequired;

	private boolean lostState;

	/**
	 * Creates the state of a backend server that is not known yet.
	 * @param knownSince the monotonic time in milliseconds from which on observations of
	 * peers are used
	 */
	ServerHealth(long knownSince) {
		this.changedAt = knownSince;
		this.lastObservedAt = knownSince;
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
	 * Returns whether the last contact failed, in which case the server should be probed
	 * before it gets requests.
	 * @return {@code true} if the server may be down
	 */
	boolean mayBeDown() {
		return this.mayBeDown;
	}

	/**
	 * Returns whether the server was draining when last observed, in which case it must
	 * be probed before it gets requests.
	 * @return {@code true} if no request may be sent before a probe
	 */
	boolean isProbeRequired() {
		return this.probeRequired;
	}

	/**
	 * Updates the state from an answer to a request or a probe.
	 * @param report the load report in the answer, or {@code null}
	 * @param successful whether the answer was successful
	 * @param warmAfterAnswers the number of successful answers after which a backend
	 * server that sends no reports is considered warm
	 * @param now the monotonic time in milliseconds
	 */
	void recordAnswer(@Nullable LoadReport report, boolean successful, int warmAfterAnswers, long now) {
		this.answeredAt = now;
		this.lastObservedAt = now;
		this.mayBeDown = false;
		if (report == null || report.state() == ServerState.UNKNOWN) {
			recordAnswerWithoutState(successful, warmAfterAnswers, now);
			return;
		}
		if (isRestart(report)) {
			markStateLost(now);
		}
		if (!report.boot().isEmpty()) {
			this.boot = report.boot();
		}
		switch (report.state()) {
			case WARM -> recordWarmReport(now);
			case COLD -> changeState(ServerState.COLD, now);
			case DRAINING -> changeState(ServerState.DRAINING, now);
			default -> throw new IllegalStateException("unexpected state " + report.state());
		}
	}

	private boolean isRestart(LoadReport report) {
		return !report.boot().isEmpty() && !this.boot.isEmpty() && !report.boot().equals(this.boot);
	}

	private void recordAnswerWithoutState(boolean successful, int warmAfterAnswers, long now) {
		if (this.state == ServerState.WARM || this.state == ServerState.DRAINING || !successful) {
			return;
		}
		this.probeRequired = false;
		this.successfulAnswers++;
		if (this.successfulAnswers >= warmAfterAnswers) {
			changeState(ServerState.WARM, now);
		}
	}

	private void recordWarmReport(long now) {
		this.probeRequired = false;
		if (this.state == ServerState.WARM) {
			return;
		}
		if (this.state == ServerState.DRAINING) {
			markStateLost(now);
		}
		this.warmReports++;
		if (this.warmReports >= REQUIRED_WARM_REPORTS) {
			changeState(ServerState.WARM, now);
		}
	}

	/**
	 * Records that a connection failed or was lost, or that a probe failed.
	 * @param now the monotonic time in milliseconds
	 */
	void recordContactFailure(long now) {
		this.mayBeDown = true;
		markStateLost(now);
	}

	/**
	 * Resets the state to unknown because the backend server may have restarted, and
	 * marks the loss for announcement to peers.
	 * @param now the monotonic time in milliseconds
	 */
	void markStateLost(long now) {
		clearState(now);
		this.lostState = true;
	}

	/**
	 * Resets the state to unknown without an announcement to peers, for a backend server
	 * that returns to service: every process resets it by itself.
	 * @param now the monotonic time in milliseconds
	 */
	void clearState(long now) {
		this.boot = "";
		this.lostState = false;
		changeState(ServerState.UNKNOWN, now);
	}

	/**
	 * Returns whether this process detected a loss of state since the last call, and
	 * clears the mark.
	 * @return {@code true} if peers should be notified
	 */
	boolean takeLostState() {
		boolean wasLost = this.lostState;
		this.lostState = false;
		return wasLost;
	}

	private void changeState(ServerState next, long now) {
		this.warmReports = 0;
		this.successfulAnswers = 0;
		this.lastObservedAt = now;
		this.state = next;
		this.changedAt = now;
		if (next == ServerState.COLD) {
			this.probeRequired = false;
		}
	}

	/**
	 * Updates the state from the observation of a peer if it is newer than the state
	 * known to this process.
	 * @param entry the entry of the peer
	 * @param now the monotonic time in milliseconds
	 */
	void applyPeerEntry(ServerEntry entry, long now) {
		if (entry.ageMs() > MAX_PEER_ENTRY_AGE_MS) {
			return;
		}
		long observedAt = now - entry.ageMs();
		ServerState peerState = stateOf(entry);
		if (peerState == null || peerState == this.state) {
			return;
		}
		if (peerState == ServerState.WARM) {
			applyPeerWarm(entry, observedAt, now);
		}
		else if (observedAt > this.lastObservedAt
				&& (peerState != ServerState.UNKNOWN || this.state == ServerState.WARM)) {
			changeState(peerState, now);
			this.boot = entry.boot();
			this.lastObservedAt = observedAt;
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

	private void applyPeerWarm(ServerEntry entry, long observedAt, long now) {
		boolean otherBoot = !this.boot.isEmpty() && !entry.boot().isEmpty() && !this.boot.equals(entry.boot());
		if (otherBoot || observedAt <= this.changedAt + PEER_AGE_TOLERANCE_MS) {
			return;
		}
		changeState(ServerState.WARM, now);
		this.boot = entry.boot();
		this.lastObservedAt = observedAt;
		this.mayBeDown = false;
		this.probeRequired = false;
	}

	/**
	 * Resets the state to unknown if the backend server has been draining for too long.
	 * @param now the monotonic time in milliseconds
	 */
	void expireDraining(long now) {
		if (this.state == ServerState.DRAINING && now - this.lastObservedAt >= DRAINING_EXPIRY_MS) {
			clearState(now);
			this.probeRequired = true;
		}
	}

}
