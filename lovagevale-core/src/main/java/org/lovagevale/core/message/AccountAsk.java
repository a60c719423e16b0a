package org.lovagevale.core.message;

/**
 * Asks the limiter of the region for tokens of a client account.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the number of the question
 * @param account the name of the account
 * @param tokens the number of tokens wanted
 * @param requestsPer100Seconds the demand of the account at the sender
 */
public record AccountAsk(long number, String account, int tokens, int requestsPer100Seconds) implements RegionMessage {
}
