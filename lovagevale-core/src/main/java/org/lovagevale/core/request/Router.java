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
 * regions, and one that is not warm only while this process owns it and fewer requests
 * run on it than it can bear in a cold start. Not thread-safe.
 */
final class Router {

	// With more candidates, two random ones are compared: the best of all would attract
	// the requests of every entry VM.
	private static final int MOST_COMPARED = 16;

	private static final int SAMPLED = 2;

	// One of this many requests warms up a cold server although a warm one is free.
	private static final int COLD_SHARE = 4;

	private static final double TIE = 0.1;

	private static final double RANDOM_STEPS = 1 << 20;

	private final Fleet fleet;

	private final RandomSource random;

	private TrackedServer[] warm = new TrackedServer[0];

	private TrackedServer[] cold = new TrackedServer[0];

	private int warmCount;

	// The warm candidates in the region of this VM come first.
	private int nearCount;

	private int coldCount;

	private int ejectedCount;

	private long coldMinimumMs;

	private long tick;

	Router(Fleet fleet, RandomSource random) {
		this.fleet = fleet;
		this.random = random;
	}

	/**
	 * Begins a tick, after which ownership is computed again.
	 */
	void tick() {
		this.tick++;
	}

	void useColdMinimum(long coldMinimumMs) {
		this.coldMinimumMs = coldMinimumMs;
	}

	/**
	 * Chooses a backend server.
	 * @param request the request
	 * @param now the monotonic time in milliseconds
	 * @return the selection, or {@code null} if none may take the request now
	 */
	@Nullable Selection choose(ActiveRequest request, long now) {
		collect(request, now);
		long remaining = request.deadline() - now;
		if (this.coldCount > 0 && (this.warmCount == 0 || mayWarmUp(request))) {
			Selection selection = chooseCold(request, remaining);
			if (selection != null) {
				return selection;
			}
		}
		return (this.warmCount > 0) ? chooseWarm(request, remaining, now) : null;
	}

	private boolean mayWarmUp(ActiveRequest request) {
		return request.priority() != Priority.CRITICAL && request.dispatched() == 0
				&& this.random.nextInt(COLD_SHARE) == 0;
	}

	private void collect(ActiveRequest request, long now) {
		TrackedServer[] servers = request.scope().servers();
		if (this.warm.length < servers.length) {
			this.warm = new TrackedServer[servers.length];
			this.cold = new TrackedServer[servers.length];
		}
		this.warmCount = 0;
		this.nearCount = 0;
		this.coldCount = 0;
		this.ejectedCount = 0;
		boolean othersWarm = false;
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
				othersWarm = true;
				collectWarm(server);
			}
		}
		if (!othersWarm && this.ejectedCount > 0) {
			collectEjected(request, now);
		}
	}

	private void collectWarm(TrackedServer server) {
		if (server.hasWarmCapacity()) {
			this.warm[this.warmCount] = server;
			this.warmCount++;
			if (server.isNear()) {
				swap(this.nearCount, this.warmCount - 1);
				this.nearCount++;
			}
		}
	}

	private void collectCold(TrackedServer server, long now) {
		if (!server.health().isProbeFirst() && server.hasColdCapacity(now) && !server.isNotOwned(this.tick)) {
			this.cold[this.coldCount] = server;
			this.coldCount++;
		}
	}

	// Ejected servers are better than none, for example if all inside the home regions
	// are ejected.
	private void collectEjected(ActiveRequest request, long now) {
		for (TrackedServer server : request.scope().servers()) {
			if (server.isInService() && server.isWarm() && server.outcomes().isEjected(now)
					&& !request.hasTried(server)) {
				collectWarm(server);
			}
		}
	}

	private @Nullable Selection chooseCold(ActiveRequest request, long remaining) {
		Selection selection = chooseCold(request, remaining, false);
		// A server that may be down is tried with a request only if nothing else is left.
		return (selection != null || this.warmCount > 0) ? selection : chooseCold(request, remaining, true);
	}

	private @Nullable Selection chooseCold(ActiveRequest request, long remaining, boolean down) {
		int start = this.random.nextInt(this.coldCount);
		for (int i = 0; i < this.coldCount; i++) {
			TrackedServer server = this.cold[(start + i) % this.coldCount];
			if (server.health().isDown() != down || server.isNotOwned(this.tick) || isLeavingNow(server)) {
				continue;
			}
			long owned = this.fleet.ownedForMs(server.definition());
			if (owned <= 0) {
				server.markNotOwned(this.tick);
			}
			long timeoutMs = Math.min(remaining, owned);
			// A body that cannot be sent again would be lost with the shortened deadline.
			boolean fits = timeoutMs == remaining || request.head().hasResendableBody();
			if (fits && timeoutMs >= Math.max(1, this.coldMinimumMs)) {
				SelectionReason choice = new SelectionReason("cold-owner", request.scope().pool().servers().length,
						usable(), Double.NaN, Double.NaN);
				return new Selection(server, timeoutMs, choice);
			}
		}
		return null;
	}

	private int usable() {
		return this.warmCount + this.coldCount;
	}

	private @Nullable Selection chooseWarm(ActiveRequest request, long remaining, long now) {
		boolean many = this.warmCount > MOST_COMPARED;
		TrackedServer best = null;
		double bestScore = Double.NaN;
		double runnerUp = Double.NaN;
		double bestDrawn = Double.MAX_VALUE;
		int compared = (many) ? sample() : this.warmCount;
		for (int i = 0; i < compared; i++) {
			TrackedServer server = this.warm[i];
			double score = server.score(now);
			double drawn = score + this.random.nextInt((int) RANDOM_STEPS) / RANDOM_STEPS * TIE;
			if (drawn < bestDrawn && !isLeavingNow(server)) {
				runnerUp = bestScore;
				best = server;
				bestScore = score;
				bestDrawn = drawn;
			}
			else if (Double.isNaN(runnerUp) || score < runnerUp) {
				runnerUp = score;
			}
		}
		if (best == null) {
			return null;
		}
		SelectionReason choice = new SelectionReason((many) ? "sampled-score" : "lowest-score",
				request.scope().pool().servers().length, usable(), bestScore, runnerUp);
		return new Selection(best, remaining, choice);
	}

	// Moves random candidates to the front, two of this region and two of others, so that
	// requests leave the region only if that is better.
	private int sample() {
		int near = Math.min(SAMPLED, this.nearCount);
		for (int i = 0; i < near; i++) {
			swap(i, i + this.random.nextInt(this.nearCount - i));
		}
		int far = Math.min(SAMPLED, this.warmCount - this.nearCount);
		for (int i = 0; i < far; i++) {
			int from = this.nearCount + i + this.random.nextInt(this.warmCount - this.nearCount - i);
			swap(this.nearCount + i, from);
			swap(near + i, this.nearCount + i);
		}
		return near + far;
	}

	private void swap(int i, int j) {
		TrackedServer server = this.warm[i];
		this.warm[i] = this.warm[j];
		this.warm[j] = server;
	}

	// The list of the platform may have changed since the last tick.
	private boolean isLeavingNow(TrackedServer server) {
		return this.fleet.isLeaving(server.definition().name());
	}

}
