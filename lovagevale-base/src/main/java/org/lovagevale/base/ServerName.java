package org.lovagevale.base;

/**
 * The name of a backend server, unique in the deployment.
 *
 * <p>
 * Invariant: the value satisfies {@link Names#isValid(String)}. Immutable and
 * thread-safe.
 *
 * @param value the name as given in the settings
 */
public record ServerName(String value) implements Comparable<ServerName> {

	/**
	 * Creates a name.
	 * @throws IllegalArgumentException if the name is invalid
	 */
	public ServerName {
		Names.requireValid("backend server", value);
	}

	@Override
	public int compareTo(ServerName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
