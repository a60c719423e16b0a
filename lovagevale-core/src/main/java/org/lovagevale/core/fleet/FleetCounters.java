package org.lovagevale.core.fleet;

/**
 * Counters of the input that a process received from peers and the platform since its
 * start.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param outsideHomeRegions messages or entries dropped because their home regions do not
 * contain the region of this process
 * @param malformed messages or entries dropped because a value was invalid
 * @param staleVersions settings and confirmations ignored because their version is below
 * the highest known
 * @param settingsBodies settings bodies received from peers
 */
public record FleetCounters(long outsideHomeRegions, long malformed, long staleVersions, long settingsBodies) {
}
