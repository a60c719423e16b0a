package org.lovagevale.core.request;

import org.lovagevale.settings.model.Priority;

/**
 * Moving averages over the backend servers of a service.
 *
 * <p>
 * Response times are averaged separately for each priority, since background requests
 * take longer. Not thread-safe.
 */
final class ServiceAverages {

	private static final double SMOOTHING_FACTOR = 0.02;

	private final double[] responseMs = new double[Priority.values().length];

	private double othersInFlight;

	/**
	 * Adds a response time.
	 * @param priority the priority of the request
	 * @param ms the response time in milliseconds
	 */
	void addResponse(Priority priority, double ms) {
		int i = priority.ordinal();
		this.responseMs[i] = (this.responseMs[i] != 0)
				? this.responseMs[i] + SMOOTHING_FACTOR * (ms - this.responseMs[i]) : ms;
	}

	/**
	 * Returns the ratio of a response time to the average.
	 * @param priority the priority of the request
	 * @param ms the response time in milliseconds
	 * @return the ratio, or 1 if there is no average yet
	 */
	double ratio(Priority priority, double ms) {
		double mean = this.responseMs[priority.ordinal()];
		return (mean != 0) ? ms / Math.max(1, mean) : 1;
	}

	void addOthersInFlight(double others) {
		this.othersInFlight += SMOOTHING_FACTOR * (others - this.othersInFlight);
	}

	double othersInFlight() {
		return this.othersInFlight;
	}

}
