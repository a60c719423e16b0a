package org.lovagevale.core.request;

/**
 * Limits the number of concurrent requests of a service in this process.
 *
 * <p>
 * The limit is the number of slots of the usable backend servers, reduced while backend
 * servers shed load. It follows the additive-increase, multiplicative-decrease (AIMD)
 * scheme. Not thread-safe.
 */
final class ConcurrencyLimit {

	private static final double DECREASE_FACTOR = 0.9;

	// Rejections caused by the same burst arrive together and count as a single overload
	// signal.
	private static final long DECREASE_INTERVAL_MS = 50;

	private double limit = Double.MAX_VALUE;

	private long decreasedAt = Long.MIN_VALUE / 2;

	private int slots = 1;

	/**
	 * Sets the total number of slots of the usable backend servers.
	 * @param slots the number of slots
	 */
	void setSlots(int slots) {
		this.slots = Math.max(1, slots);
	}

	boolean isReached(int running) {
		return running >= Math.max(1, Math.min(this.slots, (int) this.limit));
	}

	/**
	 * Records that a backend server shed a request.
	 * @param now the monotonic time in milliseconds
	 */
	void decrease(long now) {
		if (now - this.decreasedAt < DECREASE_INTERVAL_MS) {
			return;
		}
		this.decreasedAt = now;
		this.limit = Math.max(1, Math.min(this.limit, this.slots) * DECREASE_FACTOR);
	}

	/**
	 * Records that a backend server ran a request.
	 */
	void increase() {
		if (this.limit < this.slots) {
			this.limit += 1 / this.limit;
		}
	}

}
