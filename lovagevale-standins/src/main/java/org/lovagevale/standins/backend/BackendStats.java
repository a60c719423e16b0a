package org.lovagevale.standins.backend;

import java.util.Map;

/**
 * What a backend server stand-in reports to tests.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the server
 * @param port the port
 * @param boot the boot identifier of the current run
 * @param state the true state: cold, warm or draining
 * @param listening whether it accepts connections
 * @param inFlight requests that run or wait
 * @param highestInFlight the most requests at a time since it started
 * @param openConnections connections that are open
 * @param counters the counters, over all runs
 */
public record BackendStats(String name, int port, String boot, String state, boolean listening, int inFlight,
		int highestInFlight, int openConnections, Map<String, Long> counters) {
}
