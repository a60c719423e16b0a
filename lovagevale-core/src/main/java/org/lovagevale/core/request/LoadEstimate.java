package org.lovagevale.core.request;

import org.lovagevale.core.LoadReport;

/**
 * An estimate of the requests that other entry processes run on a backend server.
 *
 * <p>
 * A report loses its weight within milliseconds in favour of the average of the service.
 * Not thread-safe.
 */
final class LoadEstimate {

	private static final double DECAY_MS = 20;

	// The weight of an older report is below 0.01 %.
	private static final long MOST_AGE_MS = 200;

	private double others;

	private int idleSlots;

	private long reportedAt = Long.MIN_VALUE / 2;

	/**
	 * Uses a report.
	 * @param report the report
	 * @param own requests of this process that the backend server runs
	 * @param now the monotonic time in milliseconds
	 * @return requests of other processes in the report
	 */
	double update(LoadReport report, int own, long now) {
		this.others = Math.max(0, report.inFlight() - own);
		this.idleSlots = Math.max(0, report.slots() - report.inFlight());
		this.reportedAt = now;
		return this.others;
	}

	/**
	 * Records that the backend server shed a request: all its slots are taken.
	 * @param slots its slots
	 * @param own requests of this process that it runs
	 * @param now the monotonic time in milliseconds
	 */
	void markFull(int slots, int own, long now) {
		this.others = Math.max(this.others, slots - own);
		this.idleSlots = 0;
		this.reportedAt = now;
	}

	/**
	 * Returns the estimate.
	 * @param mean the average of the service
	 * @param entryVms the number of entry VMs that may see the same idle slots
	 * @param now the monotonic time in milliseconds
	 * @return requests of other processes
	 */
	double at(double mean, int entryVms, long now) {
		long age = now - this.reportedAt;
		if (age >= MOST_AGE_MS) {
			return mean;
		}
		double decayed = mean + (this.others - mean) * Math.exp(-age / DECAY_MS);
		// All entry VMs see the same idle slots; without the bound all would use them.
		double least = mean - (double) this.idleSlots / entryVms;
		return Math.max(0, Math.max(decayed, least));
	}

}
