package org.lovagevale.settings.model;

/**
 * Settings of the quarantine, which rejects requests that resemble those that crashed
 * backend servers.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param strikes strikes after which requests with a fingerprint are rejected
 * @param forgetMs time after the last strike until a fingerprint is forgotten, in
 * milliseconds
 * @param capacity fingerprints remembered at a time
 * @param prefixBytes bytes of the body that are included in the fingerprint
 */
public record QuarantineSettings(int strikes, long forgetMs, int capacity, int prefixBytes) {

	/**
	 * Returns the defaults.
	 * @return the values used where the tree gives none
	 */
	public static QuarantineSettings defaults() {
		return new QuarantineSettings(2, 600_000, 10_000, 4_096);
	}

}
