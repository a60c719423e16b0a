package org.lovagevale.core.catalog;

/**
 * The limits on the size and duration of requests from callers.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers together, in
 * bytes
 * @param maxBodyBytes the maximum size of the body, in bytes
 * @param headerTimeoutMs the maximum time from the first to the last byte of the request
 * line and headers, in milliseconds
 * @param idleTimeoutMs the maximum time that a connection may be idle, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
}
