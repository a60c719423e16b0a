package org.lovagevale.base;

/**
 * The name of a region.
 *
 * <p>
 * Invariant: the value satisfies {@link Names#isValid(String)}. Immutable and
 * thread-safe.
 *
 * @param value the name as given in the settings
 */
public record Region(String value) implements Comparable<Region> {

	/**
	 * Creates a name.
	 * @throws IllegalArgumentException if the name is invalid
	 */
	public Region {
		Names.requireValid("region", value);
	}

	@Override
	public int compareTo(Region other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
