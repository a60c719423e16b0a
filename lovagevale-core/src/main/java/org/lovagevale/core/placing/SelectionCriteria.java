package org.lovagevale.core.placing;

/**
 * Restricts the servers that a request may be placed on at a given moment.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param coldRequestsPerSecond the requests per second that a cold server can handle, 0
 * if this process must not use cold servers
 * @param avoidSlowServers whether the request should rather wait than use a server that
 * is slow at the moment
 * @param maxLoadAgeMs the maximum age of the load report of a server in this region, in
 * milliseconds
 * @param timeLeftMs the time left until the request times out, in milliseconds
 */
record SelectionCriteria(double coldRequestsPerSecond, boolean avoidSlowServers, long maxLoadAgeMs, long timeLeftMs) {
}
