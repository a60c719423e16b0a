package org.lovagevale.core.message;

/**
 * Answers a question for tokens of a client account.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param number the number of the question
 * @param tokens the number of tokens granted
 * @param leaseMs the time after the question for which they may be used, in milliseconds;
 * 0 if the sender is not the limiter
 * @param retryAfterMs the time after which there are tokens for a further request, in
 * milliseconds; 0 if all tokens were granted
 */
public record AccountGrant(long number, int tokens, int leaseMs, int retryAfterMs) implements RegionMessage {
}
