package org.lovagevale.core.request;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.RandomSource;
import org.lovagevale.core.SelectionReason;
import org.lovagevale.core.fleet.Fleet;
import org.lovagevale.settings.model.Priority;

/**
 * Chooses the backend server for an attempt.
 *
 * <p>
 * Invariant: chooses only backend servers that are in service and inside the home
 * regions. Chooses a server that is not warm only while this process owns it and its
 * cold-start concurrency limit is not reached. Not thread-safe.
 */
final class Router {

	// If there are more candidates, only a random sample is compared. Otherwise the
	// requests of all entry VMs would go to the same best server.
	private static final int MAX_COMPARED_SERVERS = 16;

	private static final int SAMPLES_PER_GROUP = 2;

	// One in this many requests is sent to a cold server to warm it up, even if a warm
	// server has capacity.
	private static final int REQUESTS_PER_WARM_UP = 4;

	private static final double TIE_BREAK_RANGE_REQUESTS = 0.1;

	private static final double RANDOM_STEPS = 1 << 20;

	private final Fleet fleet;

	private final RandomSource random;

	private TrackedServer[] warm = new TrackedServer[0];

	private TrackedServer[] cold = new TrackedServer[0];

	private int warmCount;

	// The number of leading elements of the warm candidates that are in the region of
	// this VM.
	private int sameRegionCount;

	private int coldCount;

	private int ejectedCount;

	private long coldMinimumMs;

	private long tick;

	Router(Fleet fleet, RandomSource random) {
		this.fleet = fleet;
		this.random = random;
	}

	/**
	 * Starts a new tick, which discards the cached results of ownership checks.
	 */
	void tick() {
		this.tick++;
	}

	void setColdMinimumMs(long coldMinimumMs) {
		this.coldMinimumMs = coldMinimumMs;
	}

	/**
	 * Chooses a backend server.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 * @return the selection, or {@code null} if no server may take the request now
	 */
	@Nullable Selection choose(ActiveRequest request, long now) {
		collect(request, now);
		long remainingMs = request.deadline() - now;
		if (this.coldCount > 0 && (this.warmCount == 0 || mayWarmUp(request))) {
			Selection selection = chooseCold(request, remainingMs);
			if (selection != null) {
				return selection;
			}
		}
		return (this.warmCount > 0) ? chooseWarm(request, remainingMs, now) : null;
	}

	private boolean mayWarmUp(ActiveRequest request) {
		return request.priority() != Priority.CRITICAL && request.dispatchCount() == 0
				&& this.random.nextInt(REQUESTS_PER_WARM_UP) == 0;
	}

	private void collect(ActiveRequest request, long now) {
		TrackedServer[] servers = request.scope().servers();
		if (this.warm.length < servers.length) {
			this.warm = new TrackedServer[servers.length];
			this.cold = new TrackedServer[servers.length];
		}
		this.warmCount = 0;
		this.sameRegionCount = 0;
		this.coldCount = 0;
		this.ejectedCount = 0;
		boolean anyWarmNotEjected = false;
		for (TrackedServer server : servers) {
			if (!server.isInService() || request.hasTried(server)) {
				continue;
			}
			if (!server.isWarm()) {
				collectCold(server, now);
			}
			else if (server.outcomes().isEjected(now)) {
				this.ejectedCount++;
			}
			else {
				anyWarmNotEjected = true;
				collectWarm(server);
			}
		}
		if (!anyWarmNotEjected && this.ejectedCount > 0) {
			collectEjected(request, now);
		}
	}

	private void collectWarm(TrackedServer server) {
		if (server.hasWarmCapacity()) {
			this.warm[this.warmCount] = server;
			this.warmCount++;
			if (server.isInSameRegion()) {
				swap(this.sameRegionCount, this.warmCount - 1);
				this.sameRegionCount++;
			}
		}
	}

	private void collectCold(TrackedServer server, long now) {
		if (!server.health().isProbeRequired() && server.hasColdCapacity(now) && !server.isNotOwned(this.tick)) {
			this.cold[this.coldCount] = server;
			this.coldCount++;
		}
	}

	// Falls back to ejected servers if there are no others, for example if all servers
	// inside the home regions are ejected.
	private void collectEjected(ActiveRequest request, long now) {
		for (TrackedServer server : request.scope().servers()) {
			if (server.isInService() && server.isWarm() && server.outcomes().isEjected(now)
					&& !request.hasTried(server)) {
				collectWarm(server);
			}
		}
	}

	private @Nullable Selection chooseCold(ActiveRequest request, long remainingMs) {
		Selection selection = chooseCold(request, remainingMs, false);
		// A server that may be down gets a request only if there is no other candidate.
		return (selection != null || this.warmCount > 0) ? selection : chooseCold(request, remainingMs, true);
	}

	private @Nullable Selection chooseCold(ActiveRequest request, long remainingMs, boolean mayBeDown) {
		int start = this.random.nextInt(this.coldCount);
		for (int i = 0; i < this.coldCount; i++) {
			TrackedServer server = this.cold[(start + i) % this.coldCount];
			if (server.health().mayBeDown() != mayBeDown || server.isNotOwned(this.tick) || isLeavingNow(server)) {
				continue;
			}
			long ownedMs = this.fleet.ownedForMs(server.definition());
			if (ownedMs <= 0) {
				server.markNotOwned(this.tick);
			}
			long timeoutMs = Math.min(remainingMs, ownedMs);
			// A request whose body cannot be sent again could not be retried after a
			// shortened timeout.
			boolean fits = timeoutMs == remainingMs || request.head().hasResendableBody();
			if (fits && timeoutMs >= Math.max(1, this.coldMinimumMs)) {
				SelectionReason reason = new SelectionReason("cold-owner", request.scope().service().servers().length,
						usableCount(), Double.NaN, Double.NaN);
				return new Selection(server, timeoutMs, reason);
			}
		}
		return null;
	}

	private int usableCount() {
		return this.warmCount + this.coldCount;
	}

	private @Nullable Selection chooseWarm(ActiveRequest request, long remainingMs, long now) {
		boolean sampled = this.warmCount > MAX_COMPARED_SERVERS;
		TrackedServer best = null;
		double bestScore = Double.NaN;
		double runnerUp = Double.NaN;
		double bestRandomizedScore = Double.MAX_VALUE;
		int compared = (sampled) ? sample() : this.warmCount;
		for (int i = 0; i < compared; i++) {
			TrackedServer server = this.warm[i];
			double score = server.score(now);
			double randomizedScore = score
					+ this.random.nextInt((int) RANDOM_STEPS) / RANDOM_STEPS * TIE_BREAK_RANGE_REQUESTS;
			if (randomizedScore < bestRandomizedScore && !isLeavingNow(server)) {
				runnerUp = bestScore;
				best = server;
				bestScore = score;
				bestRandomizedScore = randomizedScore;
			}
			else if (Double.isNaN(runnerUp) || score < runnerUp) {
				runnerUp = score;
			}
		}
		if (best == null) {
			return null;
		}
		SelectionReason reason = new SelectionReason((sampled) ? "sampled-score" : "lowest-score",
				request.scope().service().servers().length, usableCount(), bestScore, runnerUp);
		return new Selection(best, remainingMs, reason);
	}

	// Moves a random sample to the front: up to two candidates of this region and two of
	// other regions, so that requests leave the region only if the score there is better.
	private int sample() {
		int sameRegionSamples = Math.min(SAMPLES_PER_GROUP, this.sameRegionCount);
		for (int i = 0; i < sameRegionSamples; i++) {
			swap(i, i + this.random.nextInt(this.sameRegionCount - i));
		}
		int otherRegionSamples = Math.min(SAMPLES_PER_GROUP, this.warmCount - this.sameRegionCount);
		for (int i = 0; i < otherRegionSamples; i++) {
			int from = this.sameRegionCount + i + this.random.nextInt(this.warmCount - this.sameRegionCount - i);
			swap(this.sameRegionCount + i, from);
			swap(sameRegionSamples + i, this.sameRegionCount + i);
		}
		return sameRegionSamples + otherRegionSamples;
	}

	private void swap(int i, int j) {
		TrackedServer server = this.warm[i];
		this.warm[i] = this.warm[j];
		this.warm[j] = server;
	}

	// The platform may have listed the server as leaving since the last tick.
	private boolean isLeavingNow(TrackedServer server) {
		return this.fleet.isLeaving(server.definition().name());
	}

}
