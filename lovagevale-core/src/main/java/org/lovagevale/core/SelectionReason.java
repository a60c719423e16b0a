package org.lovagevale.core;

/**
 * Why a backend server was chosen, for operators.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param rule the rule that decided, for example "lowest-score" or "cold-owner"
 * @param servers servers of the service
 * @param usable servers that could take the request
 * @param score the score of the chosen server, lower is better
 * @param runnerUpScore the next best score, NaN if there was none
 */
public record SelectionReason(String rule, int servers, int usable, double score, double runnerUpScore) {
}
