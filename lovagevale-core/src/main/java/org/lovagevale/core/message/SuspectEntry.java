package org.lovagevale.core.message;

import java.util.List;

/**
 * What a process knows of a request that crashed backend servers.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param fingerprint the fingerprint
 * @param strikes crashes counted
 * @param ageMs time since the last crash in milliseconds
 * @param trialMs time for which a trial still runs in milliseconds, 0 if none
 * @param regions the regions that may know of it, empty for all
 * @param cleared strikes that a later trial without a crash has cleared
 */
public record SuspectEntry(String fingerprint, int strikes, long ageMs, long trialMs, List<String> regions,
		int cleared) {
}
