package org.lovagevale.base;

/**
 * The name of a service.
 *
 * <p>
 * Invariant: the value satisfies {@link Names#isValid(String)}. Immutable and
 * thread-safe.
 *
 * @param value the name as given in the settings
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	/**
	 * Creates a name.
	 * @throws IllegalArgumentException if the name is invalid
	 */
	public ServiceName {
		Names.requireValid("service", value);
	}

	@Override
	public int compareTo(ServiceName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
