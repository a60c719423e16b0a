package org.lovagevale.core.placing;

import org.jspecify.annotations.Nullable;

/**
 * A granted first attempt of a request that may be hedged, as its dispatcher follows it.
 *
 * <p>
 * Invariant: what the first load report after the start of the work tells about the
 * server is kept, since the slowness at the start determines the time of the work. Not
 * thread-safe.
 */
final class FirstAttempt {

	/**
	 * Time from a grant to the start of the work, in milliseconds: a message to the entry
	 * VM and the request to the server.
	 */
	private static final long START_MS = 3;

	/**
	 * Age up to which a load report tells how fast the server was when the work started,
	 * in milliseconds. Slow periods last 150 ms.
	 */
	private static final long MAX_REPORT_AGE_MS = 60;

	/** Age from which a missing load report is requested, in milliseconds. */
	private static final long REPORT_WANTED_MS = 5;

	/**
	 * Time without a load report after which a server may have stopped responding, in
	 * milliseconds. Servers in use are checked every 200 ms.
	 */
	private static final long SILENCE_MS = 300;

	private final SlotRequest request;

	private final PooledServer server;

	private final long grantedAt;

	private final HedgeDecision decision;

	private boolean startKnown;

	private double startFactor = 1;

	private @Nullable HedgeRefusal refusal;

	FirstAttempt(SlotRequest request, PooledServer server, boolean steady, long now) {
		this.request = request;
		this.server = server;
		this.grantedAt = now;
		this.decision = HedgeDecision.forWork(request.workMs());
		this.startKnown = steady;
	}

	SlotRequest request() {
		return this.request;
	}

	PooledServer server() {
		return this.server;
	}

	long ageMs(long now) {
		return now - this.grantedAt;
	}

	boolean isExpired(long now) {
		return ageMs(now) > this.request.timeLeftMs();
	}

	/**
	 * Records a load report of the server.
	 * @param factor the reported slowness, as a factor of the usual time
	 * @param now the monotonic time in milliseconds
	 */
	void recordReport(double factor, long now) {
		long age = ageMs(now);
		if (!this.startKnown && age >= START_MS && age <= MAX_REPORT_AGE_MS) {
			this.startKnown = true;
			this.startFactor = factor;
		}
	}

	/**
	 * Tells whether a load report of the server would tell how fast it was when the work
	 * started.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the report is to be requested
	 */
	boolean needsReport(long now) {
		long age = ageMs(now);
		return !this.startKnown && age >= REPORT_WANTED_MS && age < MAX_REPORT_AGE_MS;
	}

	/**
	 * Tells whether the response will be or is late for a reason that a second server
	 * does not share.
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the request is to be hedged
	 */
	boolean isHedgeWanted(long now) {
		return isSlowAtStart() ? isWorthwhile(1, now) : isLate(now);
	}

	private boolean isSlowAtStart() {
		return this.startKnown && HedgeDecision.isSlow(this.startFactor);
	}

	// The work of a server that was fast and still reports its load takes long by itself.
	private boolean isLate(long now) {
		boolean explained = this.startKnown && this.server.loadAgeMs(now) < SILENCE_MS;
		return !explained && this.decision.isDue(candidate(now));
	}

	/**
	 * Tells whether a second server would respond sufficiently earlier.
	 * @param secondFactor the slowness of the second server
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if it is worth a hedged request
	 */
	boolean isWorthwhile(double secondFactor, long now) {
		return !isSlowAtStart() || this.decision.isWorthwhile(candidate(now), this.startFactor, secondFactor);
	}

	// The entry VM has found that the request may be hedged, and its first attempt is the
	// only one.
	private HedgeCandidate candidate(long now) {
		long age = ageMs(now);
		return new HedgeCandidate(true, true, 1, 1, 2, age, this.request.timeLeftMs() - age);
	}

	String describe(long now) {
		return (isSlowAtStart() ? "slow-server factor=" + this.startFactor : "late") + " ageMs=" + ageMs(now);
	}

	@Nullable HedgeRefusal refusal() {
		return this.refusal;
	}

	void refuse(HedgeRefusal cause) {
		this.refusal = cause;
	}

}
