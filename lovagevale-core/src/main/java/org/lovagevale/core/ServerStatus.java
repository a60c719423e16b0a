package org.lovagevale.core;

/**
 * What a process knows of a backend server, for operators.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the name
 * @param service the service
 * @param state the state
 * @param inFlight requests of this process that it runs
 * @param score the score, lower is better
 * @param owned whether this process owns it now
 * @param ejected whether it is set aside for bad outcomes
 */
public record ServerStatus(String server, String service, ServerState state, int inFlight, double score, boolean owned,
		boolean ejected) {
}
