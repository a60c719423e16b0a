package org.lovagevale.core.request;

import org.lovagevale.core.LoadReport;

/**
 * Estimates the number of requests that other entry processes run on a backend server.
 *
 * <p>
 * The weight of a load report decays within milliseconds, and the estimate approaches the
 * average of the service. Not thread-safe.
 */
final class LoadEstimate {

	private static final double DECAY_TIME_CONSTANT_MS = 20;

	// At this age the weight of a report is below 0.01 %.
	private static final long MAX_REPORT_AGE_MS = 200;

	private double othersInFlight;

	private int idleSlots;

	private long reportedAt = Long.MIN_VALUE / 2;

	/**
	 * Updates the estimate from a load report.
	 * @param report the report
	 * @param ownInFlight the number of requests of this process that run on the backend
	 * server
	 * @param now the monotonic time in milliseconds
	 * @return the number of requests of other processes according to the report
	 */
	double update(LoadReport report, int ownInFlight, long now) {
		this.othersInFlight = Math.max(0, report.inFlight() - ownInFlight);
		this.idleSlots = Math.max(0, report.slots() - report.inFlight());
		this.reportedAt = now;
		return this.othersInFlight;
	}

	/**
	 * Records that the backend server shed a request, which means that all its slots are
	 * in use.
	 * @param slots the number of slots of the backend server
	 * @param ownInFlight the number of requests of this process that run on it
	 * @param now the monotonic time in milliseconds
	 */
	void markFull(int slots, int ownInFlight, long now) {
		this.othersInFlight = Math.max(this.othersInFlight, slots - ownInFlight);
		this.idleSlots = 0;
		this.reportedAt = now;
	}

	/**
	 * Returns the estimate.
	 * @param serviceAverage the average over the backend servers of the service, in
	 * requests
	 * @param entryVmCount the number of entry VMs that may see the same idle slots
	 * @param now the monotonic time in milliseconds
	 * @return the estimated number of requests of other processes
	 */
	double estimate(double serviceAverage, int entryVmCount, long now) {
		long age = now - this.reportedAt;
		if (age >= MAX_REPORT_AGE_MS) {
			return serviceAverage;
		}
		double decayed = serviceAverage
				+ (this.othersInFlight - serviceAverage) * Math.exp(-age / DECAY_TIME_CONSTANT_MS);
		// All entry VMs see the same idle slots. Each may count only on its part of them,
		// or all VMs would send requests at once.
		double lowerBound = serviceAverage - (double) this.idleSlots / entryVmCount;
		return Math.max(0, Math.max(decayed, lowerBound));
	}

}
