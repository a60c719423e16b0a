package org.lovagevale.standins.backend;

import java.util.Map;

/**
 * The configurable behaviour of a backend server stand-in. It can be replaced while the
 * server runs.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param slots maximum number of requests that run at a time
 * @param queueLength maximum number of requests that wait for a slot; further ones are
 * rejected as not run
 * @param serviceTime the service time of requests to which no entry of {@code pathTimes}
 * applies
 * @param pathTimes service times by path prefix; the longest prefix wins
 * @param latencyFactor factor applied to every service time, to simulate a slow server
 * @param coldConcurrency maximum number of requests in flight that a cold server handles
 * without slowing down
 * @param coldAnswers number of completed requests after which a cold server is warm
 * @param coldMs time after which a cold server is warm, in milliseconds
 * @param coldSlowdown factor applied to service times after a cold server had more than
 * {@code coldConcurrency} requests in flight, until it has none
 * @param restartMs time from a crash until the server listens again, in milliseconds
 * @param maxConnections maximum number of open connections; further ones are closed when
 * they are opened
 * @param draining whether new requests are rejected as not run and the reported state is
 * draining
 * @param failFast whether requests are answered with status 500 immediately
 * @param health how the health endpoint responds
 * @param reportDelayMs age of the reported number of requests in flight, in milliseconds
 * @param reportInFlight reported number of requests in flight in place of the actual one,
 * -1 to report the actual one
 * @param reportState reported state in place of the actual one, empty to report the
 * actual one
 * @param clockOffsetMs offset of the server's wall clock from the actual time, in
 * milliseconds
 */
public record Behaviour(int slots, int queueLength, ServiceTime serviceTime, Map<String, ServiceTime> pathTimes,
		double latencyFactor, int coldConcurrency, int coldAnswers, long coldMs, double coldSlowdown, long restartMs,
		int maxConnections, boolean draining, boolean failFast, HealthMode health, long reportDelayMs,
		int reportInFlight, String reportState, long clockOffsetMs) {

	/**
	 * Copies the map and checks the number of slots.
	 * @throws IllegalArgumentException if {@code slots} is not positive
	 */
	public Behaviour {
		pathTimes = Map.copyOf(pathTimes);
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be positive: " + slots);
		}
	}

	/**
	 * Returns the default behaviour: three slots, a service time of 5 ms, and a cold
	 * start that ends after 20 completed requests or 10 s.
	 * @return the behaviour
	 */
	public static Behaviour defaults() {
		return new Behaviour(3, 20, ServiceTime.fixed(5), Map.of(), 1, 1, 20, 10_000, 10, 500, 260, false, false,
				HealthMode.OK, 0, -1, "", 0);
	}

	ServiceTime serviceTimeFor(String path) {
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
