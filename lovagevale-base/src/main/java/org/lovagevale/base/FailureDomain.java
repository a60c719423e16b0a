package org.lovagevale.base;

/**
 * The name of a failure domain, unique in the deployment.
 *
 * <p>
 * Invariant: the value satisfies {@link Names#isValid(String)}. Immutable and
 * thread-safe.
 *
 * @param value the name as given in the settings
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

	/**
	 * Creates a name.
	 * @throws IllegalArgumentException if the name is invalid
	 */
	public FailureDomain {
		Names.requireValid("failure domain", value);
	}

	@Override
	public int compareTo(FailureDomain other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
