package org.lovagevale.base;

/**
 * The name of a client account.
 *
 * <p>
 * Invariant: the value satisfies {@link Names#isValid(String)}. Immutable and
 * thread-safe.
 *
 * @param value the name as given in the settings
 */
public record AccountName(String value) implements Comparable<AccountName> {

	/**
	 * Creates a name.
	 * @throws IllegalArgumentException if the name is invalid
	 */
	public AccountName {
		Names.requireValid("client account", value);
	}

	@Override
	public int compareTo(AccountName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
