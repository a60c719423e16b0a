package org.lovagevale.settings.model;

/**
 * Settings of the address responses for callers.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param count the most addresses in a response
 * @param validForMs how long a caller may keep a response, in milliseconds
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
