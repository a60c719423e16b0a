package org.lovagevale.core;

/**
 * The identity of what a request asks for, equal for a request that is sent again.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param value a hash in lower case hexadecimal digits
 */
public record Fingerprint(String value) {

	@Override
	public String toString() {
		return this.value;
	}

}
