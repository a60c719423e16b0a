package org.lovagevale.core.message;

/**
 * The demand of a client account.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param account the name of the account
 * @param requestsPer100Seconds the requests in 100 seconds at the present rate
 */
public record DemandEntry(String account, int requestsPer100Seconds) {
}
