package org.lovagevale.core.placing;

/**
 * Which servers a request accepts at a moment.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param coldRate the requests a second that a cold server bears, 0 if this process must
 * not use cold servers
 * @param patient whether the request can wait for a server that is not slow
 * @param mostLoadAgeMs the most age of the load of a server of this region, in
 * milliseconds
 */
record ChoiceCriteria(double coldRate, boolean patient, long mostLoadAgeMs) {
}
