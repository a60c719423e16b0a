package org.lovagevale.core.message;

import java.util.List;

/**
 * The strikes of a request that may crash the servers that execute it.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param fingerprint a hash of the request as sent by the caller
 * @param strikes the known strikes
 */
public record CrashSuspectEntry(long fingerprint, List<CrashStrikeEntry> strikes) {

	/**
	 * Copies the list.
	 */
	public CrashSuspectEntry {
		strikes = List.copyOf(strikes);
	}

}
