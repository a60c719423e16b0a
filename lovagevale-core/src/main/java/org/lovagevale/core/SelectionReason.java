package org.lovagevale.core;

/**
 * The reason why a backend server was selected, shown to operators.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param rule the rule that selected the server, for example "lowest-score" or
 * "cold-owner"
 * @param servers the number of servers of the service
 * @param usable the number of servers that could take the request
 * @param score the score of the selected server, where lower is better
 * @param runnerUpScore the next best score, NaN if there is none
 */
public record SelectionReason(String rule, int servers, int usable, double score, double runnerUpScore) {
}
