package org.lovagevale.settings.model;

/**
 * How requests that crash backend servers are recognised and refused.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param strikes crashes after which a fingerprint is refused
 * @param forgetMs time after the last crash until it is forgotten, in milliseconds
 * @param capacity fingerprints remembered at a time
 * @param prefixBytes bytes of the body that enter the fingerprint
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
