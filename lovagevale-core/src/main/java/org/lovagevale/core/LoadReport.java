package org.lovagevale.core;

/**
 * The load and state that a backend server reports in a response.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param inFlight the number of requests that it runs
 * @param slots the number of requests that it can run at the same time
 * @param state its state
 * @param boot an identifier of the current run of the server, empty if it reports none
 */
public record LoadReport(int inFlight, int slots, ServerState state, String boot) {
}
