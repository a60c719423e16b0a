package org.lovagevale.settings.model;

/**
 * Settings of the responses with entry VM addresses for callers.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param count the maximum number of addresses in a response
 * @param validForMs the time for which a caller may cache a response, in milliseconds
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
