package org.lovagevale.settings.model;

/**
 * How callers are told which addresses to use.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param count the most addresses in an answer
 * @param validForMs how long a caller may keep an answer, in milliseconds
 */
public record AddressSettings(int count, long validForMs) {

	/**
	 * Returns the defaults.
	 * @return the values used where the tree gives none
	 */
	public static AddressSettings defaults() {
		return new AddressSettings(3, 10_000);
	}

}
