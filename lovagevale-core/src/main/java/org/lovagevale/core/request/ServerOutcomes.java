package org.lovagevale.core.request;

import org.lovagevale.settings.model.Priority;

/**
 * Recent performance of a backend server: its slowness, failure rate and ejection.
 *
 * <p>
 * A failure counts as a response that took the whole timeout, so that a backend server
 * that fails fast does not look idle. Not thread-safe.
 */
final class ServerOutcomes {

	private static final double SMOOTHING_FACTOR = 0.2;

	// With 0.1, the mean was low by chance often enough that warm servers were excluded.
	private static final double MEAN_SMOOTHING_FACTOR = 0.02;

	private static final double MAX_SLOWNESS_RATIO = 40;

	// Time after the last outcome at which the penalty has halved.
	private static final double PENALTY_HALVING_MS = 1_000;

	private static final int SLOW_FACTOR = 4;

	private static final int SLOW_STREAK_LENGTH = 3;

	// With exponentially distributed service times, three responses in a row exceed 4
	// times the mean once in 160,000. With that threshold alone, a simulation excluded
	// warm servers.
	private static final int SLOW_DEVIATIONS = 6;

	// A faster response never counts as slow, regardless of the mean.
	private static final long MIN_SLOW_RESPONSE_MS = 20;

	private static final int MIN_SAMPLES = 10;

	// Exceeded after 5 failures in a row.
	private static final double EJECT_FAILURE_RATE = 0.65;

	private static final long BASE_EJECTION_MS = 1_000;

	private static final int MAX_EJECTION_DOUBLINGS = 5;

	private final double[] meanMs = new double[Priority.values().length];

	private final double[] deviationMs = new double[Priority.values().length];

	private final int[] samples = new int[Priority.values().length];

	private double slownessRatio = 1;

	private double failureRate;

	private int slowStreak;

	private long slownessUpdatedAt;

	private long ejectedUntil = Long.MIN_VALUE;

	private int ejections;

	/**
	 * Adds a response.
	 * @param priority the priority of the request
	 * @param ms the response time in milliseconds
	 * @param averages the averages of the service
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if several responses in a row were much slower than the mean
	 */
	boolean addResponse(Priority priority, long ms, ServiceAverages averages, long now) {
		this.failureRate -= SMOOTHING_FACTOR * this.failureRate;
		if (this.failureRate < SMOOTHING_FACTOR) {
			this.ejections = 0;
		}
		addSlowness(averages.ratio(priority, ms), now);
		averages.addResponse(priority, ms);
		return isSlowStreak(priority, ms);
	}

	private boolean isSlowStreak(Priority priority, long ms) {
		int i = priority.ordinal();
		double slowThresholdMs = Math.max(SLOW_FACTOR * this.meanMs[i],
				this.meanMs[i] + SLOW_DEVIATIONS * this.deviationMs[i]);
		if (this.samples[i] >= MIN_SAMPLES && ms > Math.max(MIN_SLOW_RESPONSE_MS, slowThresholdMs)) {
			// The mean is not updated. Otherwise the third slow response would no longer
			// count as slow.
			this.slowStreak++;
			return this.slowStreak >= SLOW_STREAK_LENGTH;
		}
		this.slowStreak = 0;
		updateMean(i, ms);
		return false;
	}

	private void updateMean(int i, long ms) {
		double weight = Math.max(MEAN_SMOOTHING_FACTOR, 1.0 / (this.samples[i] + 1));
		double deviation = (this.samples[i] != 0) ? ms - this.meanMs[i] : 0;
		this.meanMs[i] = (this.samples[i] != 0) ? this.meanMs[i] + weight * deviation : ms;
		this.deviationMs[i] += weight * (Math.abs(deviation) - this.deviationMs[i]);
		this.samples[i]++;
	}

	/**
	 * Adds a failure.
	 * @param priority the priority of the request
	 * @param timeoutMs the timeout of the failed attempt in milliseconds
	 * @param averages the averages of the service
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the backend server should be ejected
	 */
	boolean addFailure(Priority priority, long timeoutMs, ServiceAverages averages, long now) {
		this.failureRate += SMOOTHING_FACTOR * (1 - this.failureRate);
		addSlowness(Math.max(MAX_SLOWNESS_RATIO / 2, averages.ratio(priority, timeoutMs)), now);
		return this.failureRate > EJECT_FAILURE_RATE && !isEjected(now);
	}

	private void addSlowness(double ratio, long now) {
		this.slownessRatio += SMOOTHING_FACTOR * (Math.min(MAX_SLOWNESS_RATIO, ratio) - this.slownessRatio);
		this.slownessUpdatedAt = now;
	}

	/**
	 * Ejects the backend server for a time that doubles with each ejection.
	 * @param now the monotonic time in milliseconds
	 * @return the duration of the ejection in milliseconds
	 */
	long eject(long now) {
		long ms = BASE_EJECTION_MS << Math.min(this.ejections, MAX_EJECTION_DOUBLINGS);
		this.ejections++;
		this.ejectedUntil = now + ms;
		this.failureRate /= 2;
		return ms;
	}

	boolean isEjected(long now) {
		return now < this.ejectedUntil;
	}

	/**
	 * Returns the routing penalty for slowness and failures.
	 * @param now the monotonic time in milliseconds
	 * @return the penalty in requests, which decreases with the time since the last
	 * outcome
	 */
	double penalty(long now) {
		double excess = this.slownessRatio - 1;
		return (excess > 0) ? excess / (1 + (now - this.slownessUpdatedAt) / PENALTY_HALVING_MS) : 0;
	}

	/**
	 * Resets the mean response times, since the backend server may have restarted.
	 */
	void resetMeans() {
		this.slowStreak = 0;
		for (int i = 0; i < this.samples.length; i++) {
			this.samples[i] = 0;
		}
	}

}
