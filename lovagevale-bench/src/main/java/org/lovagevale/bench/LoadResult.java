package org.lovagevale.bench;

import org.HdrHistogram.Histogram;

/**
 * The result of one run of an open-loop load generator.
 *
 * @param latency nanoseconds from the intended send time to the complete response, of
 * successful requests
 * @param lag nanoseconds from the intended to the actual send time
 * @param sent requests sent
 * @param failed requests that did not get a successful response
 * @param lost requests that the generator skipped or that did not end within its timeout
 */
record LoadResult(Histogram latency, Histogram lag, long sent, long failed, long lost) {

	/** Nanoseconds in a millisecond. */
	static final double NANOS_PER_MILLI = 1_000_000;

	// A generator that sends later than this does not offer the configured load.
	private static final double MAX_LAG_P99_MS = 1;

	double latencyMs(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
	}

	double lagMs(double percentile) {
		return this.lag.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
	}

	boolean isSaturated() {
		return lagMs(99) > MAX_LAG_P99_MS;
	}

	void reportProblems(String label, Report report) {
		reportGeneratorProblems(label, report);
		if (this.failed > 0) {
			report.addProblem(label + ": " + this.failed + " of " + this.sent + " requests failed");
		}
	}

	void reportGeneratorProblems(String label, Report report) {
		if (isSaturated()) {
			report.addProblem("%s: generator saturated, it sent %.3f ms late at p99".formatted(label, lagMs(99)));
		}
		if (this.lost > 0) {
			report.addProblem(label + ": generator lost " + this.lost + " requests");
		}
	}

}
