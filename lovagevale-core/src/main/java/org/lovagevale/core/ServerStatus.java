package org.lovagevale.core;

/**
 * The status of a backend server as known to a process, for operators.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the name of the server
 * @param service the name of the service
 * @param state the state
 * @param inFlight the number of requests of this process that the server runs
 * @param score the score, where lower is better
 * @param owned whether this process currently owns the server
 * @param ejected whether the server is ejected because of bad outcomes
 */
public record ServerStatus(String server, String service, ServerState state, int inFlight, double score, boolean owned,
		boolean ejected) {
}
