package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;

/**
 * Read the first bytes of the request body and report them as a {@code PrefixArrived}
 * event.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request
 * @param maxPrefixBytes the largest number of bytes to read
 * @param maxRequestBytes the largest request body to accept in bytes
 * @param idleTimeoutMs the largest allowed time without data in milliseconds
 */
public record ReadPrefix(RequestId id, int maxPrefixBytes, long maxRequestBytes,
		long idleTimeoutMs) implements Decision {
}
