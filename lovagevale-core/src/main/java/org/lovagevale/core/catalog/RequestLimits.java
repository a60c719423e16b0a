package org.lovagevale.core.catalog;

/**
 * What a caller may send and how long it may take.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest request line and headers together, in bytes
 * @param maxBodyBytes the largest body, in bytes
 * @param headerTimeoutMs the longest time from the first byte of a head to its last, in
 * milliseconds
 * @param idleTimeoutMs the longest time that a connection may be idle, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
}
