package org.lovagevale.core.decision;

import org.lovagevale.core.RequestId;

/**
 * Read the first bytes of the body and report {@code PrefixArrived}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request
 * @param maxPrefixBytes the most bytes to read
 * @param maxRequestBytes the largest body to accept in bytes
 * @param idleTimeoutMs the longest silence in milliseconds
 */
public record ReadPrefix(RequestId id, int maxPrefixBytes, long maxRequestBytes,
		long idleTimeoutMs) implements Decision {
}
