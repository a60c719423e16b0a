package org.lovagevale.bench;

import org.HdrHistogram.Histogram;

/**
 * The result of one run of an {@link OpenLoopGenerator}.
 *
 * @param latency nanoseconds from the intended send time to the complete response, of
 * successful requests
 * @param sendLag nanoseconds from the intended to the actual send time
 * @param sent requests sent
 * @param failed requests that did not get a successful response
 * @param incomplete requests that were skipped because too many were in flight, or that
 * did not complete within the timeout of the generator
 */
record LoadResult(Histogram latency, Histogram sendLag, long sent, long failed, long incomplete) {

	static final double NANOS_PER_MILLI = 1_000_000;

	// Above this send lag, the generator does not offer the configured load.
	private static final double MAX_SEND_LAG_P99_MS = 1;

	double latencyMs(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
	}

	double sendLagMs(double percentile) {
		return this.sendLag.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
	}

	/**
	 * Tells whether the generator was too slow to offer the configured load.
	 * @return {@code true} if the 99th percentile of the send lag exceeds its limit
	 */
	boolean isGeneratorSaturated() {
		return sendLagMs(99) > MAX_SEND_LAG_P99_MS;
	}

	void reportProblems(String label, Report report) {
		reportGeneratorProblems(label, report);
		if (this.failed > 0) {
			report.addProblem(label + ": " + this.failed + " of " + this.sent + " requests failed");
		}
	}

	void reportGeneratorProblems(String label, Report report) {
		if (isGeneratorSaturated()) {
			report
				.addProblem("%s: generator saturated, p99 of the send lag is %.3f ms".formatted(label, sendLagMs(99)));
		}
		if (this.incomplete > 0) {
			report.addProblem(label + ": generator skipped or timed out " + this.incomplete + " requests");
		}
	}

}
