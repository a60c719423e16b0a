package org.lovagevale.core.placing;

/**
 * Which servers a request accepts at a moment.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param coldRequestsPerSecond the requests a second that a cold server bears, 0 if this
 * process must not use cold servers
 * @param avoidSlowServers whether the request can wait for a server that is not slow
 * @param maxLoadAgeMs the most age of the load of a server of this region, in
 * milliseconds
 */
record SelectionCriteria(double coldRequestsPerSecond, boolean avoidSlowServers, long maxLoadAgeMs) {
}
