package org.lovagevale.standins.backend;

import java.util.Map;

/**
 * Statistics of a backend server stand-in.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name of the server
 * @param port the port
 * @param boot the boot identifier, which changes with each restart
 * @param state the actual state, even if another is reported: cold, warm or draining
 * @param listening whether the server accepts connections
 * @param inFlight number of requests that run or wait for a slot
 * @param highestInFlight the largest number of requests in flight since the last start or
 * return to the cold state
 * @param openConnections number of open connections
 * @param counters the counters by name, summed over all restarts
 */
public record BackendStats(String name, int port, String boot, String state, boolean listening, int inFlight,
		int highestInFlight, int openConnections, Map<String, Long> counters) {
}
