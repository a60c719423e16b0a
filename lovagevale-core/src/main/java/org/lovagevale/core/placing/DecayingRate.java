package org.lovagevale.core.placing;

/**
 * Averages an amount per millisecond over a past whose weight decays exponentially.
 *
 * <p>
 * An average that is younger than its period covers only its own time. Not thread-safe.
 */
final class DecayingRate {

	private final double periodMs;

	private final long startedAt;

	private double sum;

	private long updatedAt;

	/**
	 * Creates a rate of zero.
	 * @param periodMs the time after which the weight has decreased to 1/e, in
	 * milliseconds
	 * @param now the monotonic time in milliseconds
	 */
	DecayingRate(double periodMs, long now) {
		this.periodMs = periodMs;
		this.startedAt = now;
		this.updatedAt = now;
	}

	void add(double amount, long now) {
		decay(now);
		this.sum += amount;
	}

	double perMs(long now) {
		decay(now);
		// The first amount is added at age 0, and a shorter time would overrate it.
		double ageMs = Math.max(this.periodMs / 4, now - this.startedAt);
		return this.sum / (this.periodMs * (1 - Math.exp(-ageMs / this.periodMs)));
	}

	private void decay(long now) {
		this.sum *= Math.exp((this.updatedAt - now) / this.periodMs);
		this.updatedAt = now;
	}

}
