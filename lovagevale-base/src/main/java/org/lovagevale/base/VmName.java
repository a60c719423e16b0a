package org.lovagevale.base;

/**
 * The name of an entry VM.
 *
 * <p>
 * Invariant: the value satisfies {@link Names#isValid(String)}. Immutable and
 * thread-safe.
 *
 * @param value the name as given in the settings
 */
public record VmName(String value) implements Comparable<VmName> {

	/**
	 * Creates a name.
	 * @throws IllegalArgumentException if the name is invalid
	 */
	public VmName {
		Names.requireValid("VM", value);
	}

	@Override
	public int compareTo(VmName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
