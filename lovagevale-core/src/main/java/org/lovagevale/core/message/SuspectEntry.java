package org.lovagevale.core.message;

import java.util.List;

/**
 * The state of a request that crashed backend servers, as known to a process.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param fingerprint the fingerprint of the request
 * @param strikes the number of crashes counted
 * @param ageMs the time since the last crash in milliseconds
 * @param trialMs the time until the running trial ends in milliseconds, 0 if none
 * @param regions the home regions of the request, empty for all
 * @param cleared the number of strikes cleared by a later trial without a crash
 */
public record SuspectEntry(String fingerprint, int strikes, long ageMs, long trialMs, List<String> regions,
		int cleared) {
}
