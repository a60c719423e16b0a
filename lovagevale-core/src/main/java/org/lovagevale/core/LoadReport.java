package org.lovagevale.core;

/**
 * What a backend server says about itself in an answer.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param inFlight requests that it runs
 * @param slots requests that it can run at a time
 * @param state its state
 * @param boot an identifier of its run, empty if it gives none
 */
public record LoadReport(int inFlight, int slots, ServerState state, String boot) {
}
