package org.lovagevale.gateway.http;

/**
 * Numbers of connections of callers at one moment.
 *
 * <p>
 * Immutable. Invariant: a connection with a request has received data, so the last two
 * numbers together do not exceed the first one.
 *
 * @param open the open connections
 * @param withRequest those with a request in progress or with a part of its head
 * @param silent those that have received no data yet
 */
public record ConnectionCounts(int open, int withRequest, int silent) {

}
