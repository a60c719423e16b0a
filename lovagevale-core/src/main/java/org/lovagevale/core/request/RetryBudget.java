package org.lovagevale.core.request;

/**
 * Bounds the retries and hedged requests of a service to a share of its requests.
 *
 * <p>
 * Not thread-safe.
 */
final class RetryBudget {

	private static final double PERCENT = 100;

	private static final double MOST_TOKENS = 10;

	// Starts full, so that a new process can retry before it has seen much traffic.
	private double tokens = MOST_TOKENS;

	/**
	 * Adds the share of one request.
	 * @param retryPercent the retry allowance in percent of requests
	 */
	void fill(int retryPercent) {
		this.tokens = Math.min(MOST_TOKENS, this.tokens + retryPercent / PERCENT);
	}

	boolean isEmpty() {
		return this.tokens < 1;
	}

	/**
	 * Takes the allowance for one retry.
	 * @return {@code true} if there was one
	 */
	boolean tryTake() {
		if (isEmpty()) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
