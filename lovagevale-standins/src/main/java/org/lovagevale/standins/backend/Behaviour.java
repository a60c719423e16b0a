package org.lovagevale.standins.backend;

import java.util.Map;

/**
 * What a backend server stand-in does, changeable while it runs.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param slots requests that run at a time
 * @param queueLength requests that wait for a slot; one more is rejected as not run
 * @param serviceTime how long a request runs
 * @param pathTimes service times by path prefix; the longest prefix wins
 * @param latencyFactor factor on every service time, for sudden slowness
 * @param coldConcurrency requests, running or waiting, that the server bears in a cold
 * start
 * @param coldAnswers answers after which the server is warm
 * @param coldMs time after which the server is warm, in milliseconds
 * @param coldSlowdown factor on service times after more requests than
 * {@code coldConcurrency} arrived in a cold start
 * @param restartMs time from a crash until the server listens again, in milliseconds
 * @param maxConnections connections accepted at a time; further ones are closed
 * @param draining whether new requests are rejected as not run and reports say draining
 * @param failFast whether requests are answered with 500 at once
 * @param health how the health endpoint answers
 * @param reportDelayMs age of the reported load in milliseconds
 * @param reportInFlight reported number of requests instead of the true one, -1 for the
 * true one
 * @param reportState reported state instead of the true one, empty for the true one
 * @param clockOffsetMs error of the server's wall clock, in milliseconds
 */
public record Behaviour(int slots, int queueLength, ServiceTime serviceTime, Map<String, ServiceTime> pathTimes,
		double latencyFactor, int coldConcurrency, int coldAnswers, long coldMs, double coldSlowdown, long restartMs,
		int maxConnections, boolean draining, boolean failFast, HealthMode health, long reportDelayMs,
		int reportInFlight, String reportState, long clockOffsetMs) {

	/**
	 * Copies the map and checks the limits.
	 * @throws IllegalArgumentException if there is no slot
	 */
	public Behaviour {
		pathTimes = Map.copyOf(pathTimes);
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be positive: " + slots);
		}
	}

	/**
	 * Returns the defaults: three slots, 5 ms for a request, a cold start of 20 answers
	 * or 10 s.
	 * @return the behaviour
	 */
	public static Behaviour defaults() {
		return new Behaviour(3, 20, ServiceTime.fixed(5), Map.of(), 1, 1, 20, 10_000, 10, 500, 260, false, false,
				HealthMode.OK, 0, -1, "", 0);
	}

	ServiceTime serviceTime(String path) {
		String longest = "";
		ServiceTime result = this.serviceTime;
		for (Map.Entry<String, ServiceTime> entry : this.pathTimes.entrySet()) {
			String prefix = entry.getKey();
			if (path.startsWith(prefix) && prefix.length() > longest.length()) {
				longest = prefix;
				result = entry.getValue();
			}
		}
		return result;
	}

}
