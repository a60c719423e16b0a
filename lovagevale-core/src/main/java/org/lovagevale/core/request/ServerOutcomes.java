package org.lovagevale.core.request;

import org.lovagevale.settings.model.Priority;

/**
 * How a backend server did lately: slowness, failures and ejection.
 *
 * <p>
 * A failure counts as a response that took the whole deadline, so that a backend server
 * that fails fast does not look idle. Not thread-safe.
 */
final class ServerOutcomes {

	private static final double WEIGHT = 0.2;

	// With 0.1 the average was low by chance often enough to set aside warm servers.
	private static final double MEAN_WEIGHT = 0.02;

	private static final double MOST_RATIO = 40;

	private static final double PENALTY_HALVED_MS = 1_000;

	private static final int SLOW_FACTOR = 4;

	private static final int SLOW_RESPONSES = 3;

	// With exponential service times, three responses in a row are 4 times as slow as the
	// average once in 160,000, which set aside warm servers in a simulation.
	private static final int SLOW_DEVIATIONS = 6;

	// Below this, a response is not slow whatever the average is.
	private static final long SLOW_LEAST_MS = 20;

	private static final int LEAST_SAMPLES = 10;

	// Reached by 5 failures in a row.
	private static final double EJECT_FAILURES = 0.65;

	private static final long EJECT_MS = 1_000;

	private static final int EJECT_MOST_DOUBLINGS = 5;

	private final double[] meanMs = new double[Priority.values().length];

	private final double[] deviationMs = new double[Priority.values().length];

	private final int[] samples = new int[Priority.values().length];

	private double ratio = 1;

	private double failures;

	private int slowInRow;

	private long updatedAt;

	private long ejectedUntil = Long.MIN_VALUE;

	private int ejections;

	/**
	 * Adds a response.
	 * @param priority the priority of the request
	 * @param ms the response time in milliseconds
	 * @param averages the averages of the service
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if several responses in a row were much slower than usual
	 */
	boolean addResponse(Priority priority, long ms, ServiceAverages averages, long now) {
		this.failures -= WEIGHT * this.failures;
		if (this.failures < WEIGHT) {
			this.ejections = 0;
		}
		addRatio(averages.ratio(priority, ms), now);
		averages.addResponse(priority, ms);
		return isSlowStreak(priority, ms);
	}

	private boolean isSlowStreak(Priority priority, long ms) {
		int i = priority.ordinal();
		double usual = Math.max(SLOW_FACTOR * this.meanMs[i], this.meanMs[i] + SLOW_DEVIATIONS * this.deviationMs[i]);
		if (this.samples[i] >= LEAST_SAMPLES && ms > Math.max(SLOW_LEAST_MS, usual)) {
			// The average is not updated, or the third slow response would look usual.
			this.slowInRow++;
			return this.slowInRow >= SLOW_RESPONSES;
		}
		this.slowInRow = 0;
		addUsual(i, ms);
		return false;
	}

	private void addUsual(int i, long ms) {
		double weight = Math.max(MEAN_WEIGHT, 1.0 / (this.samples[i] + 1));
		double distance = (this.samples[i] != 0) ? ms - this.meanMs[i] : 0;
		this.meanMs[i] = (this.samples[i] != 0) ? this.meanMs[i] + weight * distance : ms;
		this.deviationMs[i] += weight * (Math.abs(distance) - this.deviationMs[i]);
		this.samples[i]++;
	}

	/**
	 * Adds a failure.
	 * @param priority the priority of the request
	 * @param timeoutMs the time that it could have taken, in milliseconds
	 * @param averages the averages of the service
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if the backend server should be ejected
	 */
	boolean addFailure(Priority priority, long timeoutMs, ServiceAverages averages, long now) {
		this.failures += WEIGHT * (1 - this.failures);
		addRatio(Math.max(MOST_RATIO / 2, averages.ratio(priority, timeoutMs)), now);
		return this.failures > EJECT_FAILURES && !isEjected(now);
	}

	private void addRatio(double value, long now) {
		this.ratio += WEIGHT * (Math.min(MOST_RATIO, value) - this.ratio);
		this.updatedAt = now;
	}

	/**
	 * Sets the backend server aside for a time that doubles with each ejection.
	 * @param now the monotonic time in milliseconds
	 * @return the time in milliseconds
	 */
	long eject(long now) {
		long ms = EJECT_MS << Math.min(this.ejections, EJECT_MOST_DOUBLINGS);
		this.ejections++;
		this.ejectedUntil = now + ms;
		this.failures /= 2;
		return ms;
	}

	boolean isEjected(long now) {
		return now < this.ejectedUntil;
	}

	/**
	 * Returns the penalty for slowness and failures.
	 * @param now the monotonic time in milliseconds
	 * @return the penalty in requests, falling while there is no news
	 */
	double penalty(long now) {
		double excess = this.ratio - 1;
		return (excess > 0) ? excess / (1 + (now - this.updatedAt) / PENALTY_HALVED_MS) : 0;
	}

	/**
	 * Forgets what is usual, since the backend server started again.
	 */
	void resetMeans() {
		this.slowInRow = 0;
		for (int i = 0; i < this.samples.length; i++) {
			this.samples[i] = 0;
		}
	}

}
