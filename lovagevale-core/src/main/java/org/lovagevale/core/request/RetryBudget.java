package org.lovagevale.core.request;

/**
 * Limits the retries and hedged attempts of a service to a percentage of its requests.
 *
 * <p>
 * Not thread-safe.
 */
final class RetryBudget {

	private static final double PERCENT = 100;

	private static final double MAX_TOKENS = 10;

	// The budget starts full, so that a new process can retry before it has seen much
	// traffic.
	private double tokens = MAX_TOKENS;

	/**
	 * Adds the retry allowance of one request.
	 * @param retryPercent the retry allowance in percent of requests
	 */
	void credit(int retryPercent) {
		this.tokens = Math.min(MAX_TOKENS, this.tokens + retryPercent / PERCENT);
	}

	boolean isEmpty() {
		return this.tokens < 1;
	}

	/**
	 * Takes a token for one retry.
	 * @return {@code true} if a token was available
	 */
	boolean tryTake() {
		if (isEmpty()) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
